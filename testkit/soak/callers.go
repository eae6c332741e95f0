package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// paths are what callers ask for; once tells which of them may run once at most.
var requestKinds = []struct {
	path string
	once bool
}{
	{"/once/a", true}, {"/get/a", false}, {"/stream/a", true}, {"/stream-resume/a", false}, {"/stream-staged/a", false},
}

const (
	// requestWait is the wait that a request names, callerWait the caller's own.
	requestDeadline = 3 * time.Second
	callerTimeout   = 3500 * time.Millisecond
	// eventsOfAStream is what the targets send.
	eventsPerStream = 5
	// resumesMost is how often a caller asks for the rest of a stream.
	maxResumes = 3
)

// answer is what a caller got.
type callResult struct {
	id, path string
	// sent is the body of the request; empty for the usual one, which names the id.
	customBody  string
	once        bool
	pieceCounts [2]int
	// after is the event behind which the caller asked the stream to go on; 0 for none.
	resumedAfter int
	status       int
	body         string
	// whole tells that the answer ended as it should.
	complete bool
	ended    time.Time
}

// callers send requests until the context ends and return all answers.
func (w *testbed) runCallers(ctx context.Context) []callResult {
	var mu sync.Mutex
	var all []callResult
	var wg sync.WaitGroup
	for i := range w.options.Callers {
		c := newCaller(w, i)
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			c.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, c.results...)
		})
	}
	wg.Wait()
	return all
}

// caller sends one request after the other.
type caller struct {
	testbed *testbed
	// client keeps its connections until they are gone.
	client *http.Client
	number int
	// random draws requests, instances those that are asked for the rest of a stream.
	random, resumeRandom *rand.Rand
	results              []callResult
}

func newCaller(w *testbed, number int) *caller {
	return &caller{
		testbed: w, client: &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}, number: number,
		random:       rand.New(rand.NewPCG(w.options.Seed, uint64(number)+1)),
		resumeRandom: rand.New(rand.NewPCG(w.options.Seed, 4<<32+uint64(number))),
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := requestKinds[c.random.IntN(len(requestKinds))]
		a := callResult{id: c.nextID(), path: kind.path, once: kind.once, pieceCounts: [2]int{c.random.IntN(4), 1 + c.random.IntN(4)}}
		c.call(&a, c.random)
		for range maxResumes {
			after, cut := a.resumePoint()
			if !cut || ctx.Err() != nil {
				break
			}
			a = callResult{id: c.nextID(), path: a.path, resumedAfter: after}
			c.call(&a, c.resumeRandom)
		}
	}
}

// nextID is the id of the caller's next request.
func (c *caller) nextID() string { return fmt.Sprintf("%04x%06x", c.number, len(c.results)) }

// brokeOff tells that the caller has a part of a stream that may go on, and the last
// event it has.
func (a *callResult) resumePoint() (after int, cut bool) {
	if a.path != "/stream-resume/a" || a.status != http.StatusOK || a.complete {
		return 0, false
	}
	after = max(a.resumedAfter, lastEventID(a.body))
	return after, after > 0
}

// request is the body of the request.
func (a *callResult) requestBody() string { return cmp.Or(a.customBody, "body of "+a.id) }

// call sends a request to an instance and keeps its answer.
func (c *caller) call(a *callResult, random *rand.Rand) {
	c.send(a, c.testbed.instances[random.IntN(len(c.testbed.instances))])
	a.ended = time.Now()
	c.results = append(c.results, *a)
	if a.status != http.StatusOK {
		time.Sleep(30 * time.Millisecond) // a caller that was refused doesn't come back at once
	}
}

func (c *caller) send(a *callResult, in *instance) {
	request, err := http.NewRequest(http.MethodPost, "http://"+in.callerAddress+a.path, strings.NewReader(a.requestBody()))
	if err != nil {
		panic(err) // a path of our own
	}
	request.Host = "host.example"
	request.Header = standin.Call{
		ID: a.id, Key: (*c.testbed.keys.Load())[0], Wait: requestDeadline, SharedPart: "s1", Pieces: a.pieceCounts[:], PieceKey: "key" + a.id,
		LastEvent: a.resumedAfter,
	}.Header()
	response, err := c.client.Do(request)
	if err != nil {
		return // the status stays 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.complete = response.StatusCode, string(body), err == nil
}
