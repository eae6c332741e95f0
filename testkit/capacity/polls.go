package capacity

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/poll"
	emulator "github.com/ivyhollow/ivyhollow/emulator/target"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// designEngines is the number of engines that an instance keeps: a subset of 64
// for each of six models, which have a pool each.
const designEngines = 6 * routing.DefaultSubsetSize

// Times of the measurement of polls. The warm-up covers the start, when every
// engine is polled once.
const (
	pollWarmUp = 25 * time.Second
	pollLength = 40 * time.Second
)

func measurePolls(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, SizeUnit: "engine", DesignSize: designEngines, Budget: budget}
	}
	calls := series("calls to engines", "1/s a node", 0)
	bytes := series("sent to engines", "B/s a node", sendBudget)
	received := series("received from engines", "B/s a node", 0)
	processor := series("processor time, both ends", "ms/s a node", 0)
	for _, n := range o.sizes(12, 64, 384) {
		rig, err := newPollRig(n)
		if err != nil {
			return nil, err
		}
		rig.run()
		seconds := pollLength.Seconds()
		calls.add(n, float64(rig.calls.Load())/seconds)
		bytes.add(n, float64(rig.bytesIn.Load())/seconds)
		received.add(n, float64(rig.bytesOut.Load())/seconds)
		processor.add(n, rig.cpuTime.Seconds()*1000/seconds)
	}
	return []Series{calls, bytes, received, processor}, nil
}

// pollRig holds n emulated engines with a listener each, and what a poller has
// sent to them and received.
type pollRig struct {
	engines           []poll.Engine
	close             []func()
	calls             atomic.Int64
	bytesIn, bytesOut atomic.Int64
	cpuTime           time.Duration
}

func newPollRig(n int) (*pollRig, error) {
	rig := &pollRig{}
	for i := range n {
		incarnation := instanceName(i)
		engine := emulator.New(emulator.Options{Incarnation: incarnation, Models: []string{"model-1"}})
		server := httptest.NewUnstartedServer(rig.countCalls(engine.Handler()))
		server.Listener = &countingListener{Listener: server.Listener, rig: rig}
		server.Start()
		rig.engines = append(rig.engines, poll.Engine{Incarnation: incarnation, Address: server.Listener.Addr().String()})
		rig.close = append(rig.close, server.Close, engine.Close)
	}
	return rig, nil
}

func (r *pollRig) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.calls.Add(1)
		next.ServeHTTP(w, request)
	})
}

func (r *pollRig) run() {
	client := target.New(target.Options{})
	table := routing.New(routing.Config{Instance: "self"})
	poller := poll.New(client, table, func() []poll.Engine { return r.engines }, func(string, []string, []string) {})
	ctx, cancel := context.WithTimeout(context.Background(), pollWarmUp+pollLength)
	defer cancel()
	var start time.Duration
	warm := time.AfterFunc(pollWarmUp, func() {
		r.calls.Store(0)
		r.bytesIn.Store(0)
		r.bytesOut.Store(0)
		start = cpuTime()
	})
	defer warm.Stop()
	_ = poller.Run(ctx) // ends without an error
	r.cpuTime = cpuTime() - start
	client.Close()
	for _, f := range r.close {
		f()
	}
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	rig *pollRig
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, rig: l.rig}, nil
}

type countingConn struct {
	net.Conn
	rig *pollRig
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.rig.bytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.rig.bytesOut.Add(int64(n))
	return n, err
}
