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
	// plannedWait is a caller's patience; it is longer than a request's time and a
	// pause together, so whatever ends by it had no answer.
	plannedCallerTimeout = 8 * time.Second
	// longestWait is what streams wait at most. It is longer than a planned stop, so a
	// stop comes to its end while streams wait for their stages.
	maxStreamDeadline = 5 * time.Second
	// refusedWait bounds how long a caller that was refused stays away.
	maxRefusalPause = 200 * time.Millisecond
	// settledKey is which of the keys callers use, from the newest: one that had two
	// seconds to come into force everywhere, and that the next version keeps.
	settledKeyIndex = 2
)

// manners are how a caller uses its connection.
type callerProfile struct {
	// least and most bound the time between an answer and the next request.
	minPause, maxPause time.Duration
	// parted is one in how many requests is sent in two parts; 0 for none.
	splitOneIn int
}

// partedMost bounds the time between the parts of a request. A stop often finds a
// request of which it has a part only.
const maxSplitPause = 300 * time.Millisecond

// kinds of callers; each caller is of one of them.
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

// exchange is a request on a kept connection and what came of it.
type exchange struct {
	callResult
	history *processHistory
	// wait is the time that the request names.
	deadline time.Duration
	// kept counts the answers that the connection had given before.
	answersBefore int
	// sent tells that all bytes were written: from first to last.
	fullySent           bool
	firstByte, lastByte time.Time
	// closed is when the connection was seen to be closed instead of an answer.
	closeSeen  time.Time
	retryAfter string
	// err is why there is no whole answer.
	err error
}

// keepers send requests on connections that they keep, until the context ends, and
// return what came of each.
func (w *testbed) runPersistentCallers(ctx context.Context) []exchange {
	var mu sync.Mutex
	var all []exchange
	var callers, probes sync.WaitGroup
	balancing, done := context.WithCancel(context.Background())
	b := startBalancer(balancing, &probes, w.instances)
	for i := range w.options.Callers {
		k := persistentCaller{
			testbed: w, balancer: b, number: i, profile: callerProfiles[i%len(callerProfiles)],
			random: rand.New(rand.NewPCG(w.options.Seed, uint64(i)+1)),
		}
		callers.Go(func() {
			k.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, k.exchanges...)
		})
	}
	callers.Wait()
	done()
	probes.Wait()
	return all
}

// keeper is a caller that keeps its connection.
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
		k := dialInstance(in)
		if k == nil {
			sleep(ctx, probeInterval/10)
			continue
		}
		c.useConnection(ctx, k)
		_ = k.conn.Close() // it may be closed already
	}
}

// use sends requests on a connection until it is of no use any more.
func (c *persistentCaller) useConnection(ctx context.Context, k *persistentConn) {
	for {
		sleep(ctx, c.randomDuration(c.profile.minPause, c.profile.maxPause))
		over, stray := k.finished()
		if stray {
			c.testbed.violation("%s sent bytes that nobody asked for", k.history.instance)
		}
		if over || ctx.Err() != nil {
			return
		}
		x := c.nextRequest()
		x.history, x.answersBefore = k.history, k.answers
		parts := c.encodeRequest(&x)
		k.send(&x, parts, c.randomDuration(0, maxSplitPause))
		goesOn := k.receive(&x)
		c.exchanges = append(c.exchanges, x)
		if x.status == http.StatusServiceUnavailable {
			sleep(ctx, min(parseRetryAfter(x.retryAfter), maxRefusalPause))
		}
		if !goesOn {
			return
		}
	}
}

// next draws the next request.
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

// parts are the bytes of a request, in the parts in which they are sent. The cut is
// in the head as well as in the body.
func (c *persistentCaller) encodeRequest(x *exchange) [][]byte {
	request, err := http.NewRequest(http.MethodPost, "http://host.example"+x.path, strings.NewReader("body of "+x.id))
	if err != nil {
		panic(err) // a path of our own
	}
	request.Header = standin.Call{
		ID: x.id, Key: (*c.testbed.keys.Load())[settledKeyIndex], Wait: x.deadline, SharedPart: "s1", Pieces: x.pieceCounts[:], PieceKey: "key" + x.id,
	}.Header()
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		panic(err) // a buffer takes all
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

// between draws a time.
func (c *persistentCaller) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)+1))
}

// pause waits, at most until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// seconds reads the time of a Retry-After header; 0 if there is none.
func parseRetryAfter(text string) time.Duration {
	n, _ := strconv.ParseFloat(text, 64) // an unreadable one is found by the check
	return time.Duration(n * float64(time.Second))
}
