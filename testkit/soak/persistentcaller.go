package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

const (
	// plannedCallerTimeout is a caller's timeout. It is longer than a request's deadline and a
	// pause together, so a request that reaches it was not answered.
	plannedCallerTimeout = 8 * time.Second
	// maxStreamDeadline is the longest deadline of a stream. It is longer than a planned stop,
	// so that a stop reaches its end while streams wait for their stages.
	maxStreamDeadline = 5 * time.Second
	// maxRefusalPause bounds the pause of a caller after a refusal.
	maxRefusalPause = 200 * time.Millisecond
	// settledKeyIndex selects the key that callers use, counted from the newest: one that had
	// two seconds to come into force everywhere, and that the next version still accepts.
	settledKeyIndex = 2
)

// callerProfile describes how a caller uses its connection.
type callerProfile struct {
	// minPause and maxPause bound the time between a response and the next request.
	minPause, maxPause time.Duration
	// splitOneIn is N if one in N requests is sent in two parts; 0 for none.
	splitOneIn int
}

// maxSplitPause bounds the time between the parts of a request, so that a stop often meets a
// request that has arrived only in part.
const maxSplitPause = 300 * time.Millisecond

// callerProfiles are assigned to the callers in turn.
var callerProfiles = []callerProfile{
	{0, 20 * time.Millisecond, 0},
	{0, 150 * time.Millisecond, 2},
	{200 * time.Millisecond, 900 * time.Millisecond, 0},
	{200 * time.Millisecond, 900 * time.Millisecond, 1},
	{300 * time.Millisecond, 1200 * time.Millisecond, 0},
	{300 * time.Millisecond, 1200 * time.Millisecond, 0},
	{300 * time.Millisecond, 1200 * time.Millisecond, 2},
	{400 * time.Millisecond, 2500 * time.Millisecond, 3},
}

// exchange is a request on a persistent connection and its result.
type exchange struct {
	callResult
	history *processHistory
	// deadline is the deadline that the request carries.
	deadline time.Duration
	// answersBefore counts the earlier responses on the connection.
	answersBefore int
	// fullySent reports whether all bytes were written, between firstByte and lastByte.
	fullySent           bool
	firstByte, lastByte time.Time
	// closeSeen is when the connection was found closed in place of a response.
	closeSeen  time.Time
	retryAfter string
	// err is why there is no complete response.
	err error
}

// runPersistentCallers sends requests on persistent connections until the context ends, and
// returns all exchanges.
func (tb *testbed) runPersistentCallers(ctx context.Context) []exchange {
	var mu sync.Mutex
	var all []exchange
	var callers, probes sync.WaitGroup
	balancing, done := context.WithCancel(context.Background())
	b := startBalancer(balancing, &probes, tb.instances)
	for i := range tb.options.Callers {
		conn := persistentCaller{
			testbed: tb, balancer: b, number: i, profile: callerProfiles[i%len(callerProfiles)],
			random: rand.New(rand.NewPCG(tb.options.Seed, uint64(i)+1)),
		}
		callers.Go(func() {
			conn.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, conn.exchanges...)
		})
	}
	callers.Wait()
	done()
	probes.Wait()
	return all
}

// persistentCaller is a caller that reuses its connection.
type persistentCaller struct {
	testbed   *testbed
	balancer  *balancer
	number    int
	profile   callerProfile
	random    *rand.Rand
	exchanges []exchange
}

func (c *persistentCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		in := c.balancer.choose(c.random)
		if in == nil {
			sleep(ctx, probeInterval)
			continue
		}
		conn := dialInstance(in)
		if conn == nil {
			sleep(ctx, probeInterval/10)
			continue
		}
		c.useConnection(ctx, conn)
		_ = conn.conn.Close() // it may be closed already
	}
}

// useConnection sends requests on a connection until it can't be used any more.
func (c *persistentCaller) useConnection(ctx context.Context, conn *persistentConn) {
	for {
		sleep(ctx, c.randomDuration(c.profile.minPause, c.profile.maxPause))
		over, stray := conn.finished()
		if stray {
			c.testbed.violation("%s sent bytes that nobody asked for", conn.history.instance)
		}
		if over || ctx.Err() != nil {
			return
		}
		x := c.nextRequest()
		x.history, x.answersBefore = conn.history, conn.answers
		parts := c.encodeRequest(&x)
		conn.send(&x, parts, c.randomDuration(0, maxSplitPause))
		goesOn := conn.receive(&x)
		c.exchanges = append(c.exchanges, x)
		if x.status == http.StatusServiceUnavailable {
			sleep(ctx, min(parseRetryAfter(x.retryAfter), maxRefusalPause))
		}
		if !goesOn {
			return
		}
	}
}

// nextRequest samples the next request.
func (c *persistentCaller) nextRequest() exchange {
	kind := requestKinds[c.random.IntN(len(requestKinds))]
	x := exchange{callResult: callResult{
		id: fmt.Sprintf("%04x%06x", c.number, len(c.exchanges)), path: kind.path, once: kind.once,
		pieceCounts: [2]int{c.random.IntN(4), 1 + c.random.IntN(4)},
	}}
	x.deadline = c.randomDuration(time.Second, requestDeadline)
	if strings.HasPrefix(x.path, "/stream") {
		x.deadline = c.randomDuration(requestDeadline, maxStreamDeadline)
	}
	return x
}

// encodeRequest returns the bytes of a request, in the parts in which they are sent. The split
// is in the head or in the body.
func (c *persistentCaller) encodeRequest(x *exchange) [][]byte {
	request, err := http.NewRequest(http.MethodPost, "http://host.example"+x.path, strings.NewReader("body of "+x.id))
	if err != nil {
		panic(err) // the URL is constant and valid
	}
	request.Header = standin.Call{
		ID: x.id, Key: (*c.testbed.keys.Load())[settledKeyIndex], Wait: x.deadline, SharedPart: "s1", Pieces: x.pieceCounts[:], PieceKey: "key" + x.id,
	}.Header()
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		panic(err) // buffer writes never fail
	}
	if c.profile.splitOneIn == 0 || c.random.IntN(c.profile.splitOneIn) > 0 {
		return [][]byte{text.Bytes()}
	}
	head := bytes.Index(text.Bytes(), []byte("\r\n\r\n"))
	cut := 1 + c.random.IntN(head)
	if c.random.IntN(3) == 0 {
		cut = text.Len() - 1 - c.random.IntN(8) // within the body
	}
	return [][]byte{text.Bytes()[:cut], text.Bytes()[cut:]}
}

// randomDuration samples a duration between the bounds.
func (c *persistentCaller) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)+1))
}

// sleep waits for the given time, at most until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// parseRetryAfter returns the time of a Retry-After header; 0 if there is none.
func parseRetryAfter(text string) time.Duration {
	n, _ := strconv.ParseFloat(text, 64) // checkRefusal finds an invalid one
	return time.Duration(n * float64(time.Second))
}
