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

// requestKinds are the paths that callers request; once marks those that may run at most once.
var requestKinds = []struct {
	path string
	once bool
}{
	{"/once/a", true}, {"/get/a", false}, {"/stream/a", true}, {"/stream-resume/a", false}, {"/stream-staged/a", false},
}

const (
	// requestDeadline is the deadline that a request carries, callerTimeout the caller's own
	// timeout.
	requestDeadline = 3 * time.Second
	callerTimeout   = 3500 * time.Millisecond
	// eventsPerStream is the number of events in each target's stream.
	eventsPerStream = 5
	// maxResumes is how often a caller requests the remaining events of a broken stream.
	maxResumes = 3
)

// callResult is a request and the response that its caller received.
type callResult struct {
	id, path string
	// customBody is the body of the request; empty for the default one, which contains the id.
	customBody string
	// crashPart is the part of the prompt that crashes targets; empty if it has none.
	crashPart   string
	once        bool
	pieceCounts [2]int
	// resumedAfter is the last event that the caller had when it resumed the stream; 0 for a
	// new stream.
	resumedAfter int
	// stream is the id of the attempt that brought the first event of the stream that is resumed; empty if the
	// caller doesn't name it.
	stream string
	// account is the client account; empty for account-1.
	account string
	// deadline is the deadline that the request carries; 0 for requestDeadline.
	deadline time.Duration
	// retryAfter is the time of the response's Retry-After; 0 for none.
	retryAfter time.Duration
	// instance is the name of the instance that got the request, began when it was sent.
	instance string
	began    time.Time
	status   int
	body     string
	// left is true if the caller left before the end of the response.
	left bool
	// complete reports whether the response ended without an error.
	complete bool
	ended    time.Time
}

// runCallers sends requests until the context ends and returns all results.
func (tb *testbed) runCallers(ctx context.Context) []callResult {
	var mu sync.Mutex
	var all []callResult
	var wg sync.WaitGroup
	for i := range tb.options.Callers {
		c := newCaller(tb, i)
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

// caller sends requests one after the other.
type caller struct {
	testbed *testbed
	// client keeps its connections until they are closed.
	client *http.Client
	number int
	// random samples requests, resumeRandom the instances to which a stream is resumed.
	random, resumeRandom *rand.Rand
	results              []callResult
}

func newCaller(tb *testbed, number int) *caller {
	return &caller{
		testbed: tb, client: &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}, number: number,
		random:       rand.New(rand.NewPCG(tb.options.Seed, uint64(number)+1)),
		resumeRandom: rand.New(rand.NewPCG(tb.options.Seed, 4<<32+uint64(number))),
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

// nextID returns the id of the caller's next request.
func (c *caller) nextID() string { return fmt.Sprintf("%04x%06x", c.number, len(c.results)) }

// resumePoint reports whether the caller has received a part of a resumable stream that broke
// off, and returns the last event that it has.
func (a *callResult) resumePoint() (after int, cut bool) {
	if a.path != "/stream-resume/a" || a.status != http.StatusOK || a.complete {
		return 0, false
	}
	after = max(a.resumedAfter, lastEventID(a.body))
	return after, after > 0
}

// requestBody returns the body of the request.
func (a *callResult) requestBody() string { return cmp.Or(a.customBody, "body of "+a.id) }

// call sends a request to a random instance and records the result.
func (c *caller) call(a *callResult, random *rand.Rand) {
	in := c.testbed.instances[random.IntN(len(c.testbed.instances))]
	a.instance, a.began = in.name, time.Now()
	c.send(a, in)
	a.ended = time.Now()
	c.results = append(c.results, *a)
	if a.status != http.StatusOK {
		time.Sleep(30 * time.Millisecond) // refused callers retry after a pause
	}
}

func (c *caller) send(a *callResult, in *instance) { c.sendWithin(context.Background(), a, in) }

// sendWithin sends a request that ends with the context.
func (c *caller) sendWithin(ctx context.Context, a *callResult, in *instance) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.callerAddress+a.path, strings.NewReader(a.requestBody()))
	if err != nil {
		panic(err) // the URL is constant and valid
	}
	request.Host = "host.example"
	request.Header = standin.Call{
		ID: a.id, Key: c.testbed.callerKey(a.account), Wait: cmp.Or(a.deadline, requestDeadline), SharedPart: "s1", OtherPart: a.crashPart, Pieces: a.pieceCounts[:], PieceKey: "key" + a.id,
		LastEvent: a.resumedAfter, Resumes: a.stream,
	}.Header()
	response, err := c.client.Do(request)
	if err != nil {
		return // status 0 stands for no response
	}
	defer response.Body.Close()
	a.retryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.complete = response.StatusCode, string(body), err == nil
}
