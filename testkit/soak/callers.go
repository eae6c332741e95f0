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
var paths = []struct {
	path string
	once bool
}{
	{"/once/a", true}, {"/get/a", false}, {"/stream/a", true}, {"/stream-resume/a", false}, {"/stream-staged/a", false},
}

const (
	// requestWait is the wait that a request names, callerWait the caller's own.
	requestWait = 3 * time.Second
	callerWait  = 3500 * time.Millisecond
	// eventsOfAStream is what the targets send.
	eventsOfAStream = 5
	// resumesMost is how often a caller asks for the rest of a stream.
	resumesMost = 3
)

// answer is what a caller got.
type answer struct {
	id, path string
	// sent is the body of the request; empty for the usual one, which names the id.
	sent   string
	once   bool
	pieces [2]int
	// after is the event behind which the caller asked the stream to go on; 0 for none.
	after  int
	status int
	body   string
	// whole tells that the answer ended as it should.
	whole bool
	ended time.Time
}

// callers send requests until the context ends and return all answers.
func (w *world) callers(ctx context.Context) []answer {
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	for i := range w.options.Callers {
		c := newCaller(w, i)
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			c.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, c.all...)
		})
	}
	wg.Wait()
	return all
}

// caller sends one request after the other.
type caller struct {
	world *world
	// client keeps its connections until they are gone.
	client *http.Client
	number int
	// random draws requests, instances those that are asked for the rest of a stream.
	random, instances *rand.Rand
	all               []answer
}

func newCaller(w *world, number int) *caller {
	return &caller{
		world: w, client: &http.Client{Transport: &http.Transport{}, Timeout: callerWait}, number: number,
		random:    rand.New(rand.NewPCG(w.options.Seed, uint64(number)+1)),
		instances: rand.New(rand.NewPCG(w.options.Seed, 4<<32+uint64(number))),
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := paths[c.random.IntN(len(paths))]
		a := answer{id: c.nextID(), path: kind.path, once: kind.once, pieces: [2]int{c.random.IntN(4), 1 + c.random.IntN(4)}}
		c.call(&a, c.random)
		for range resumesMost {
			after, cut := a.brokeOff()
			if !cut || ctx.Err() != nil {
				break
			}
			a = answer{id: c.nextID(), path: a.path, after: after}
			c.call(&a, c.instances)
		}
	}
}

// nextID is the id of the caller's next request.
func (c *caller) nextID() string { return fmt.Sprintf("%04x%06x", c.number, len(c.all)) }

// brokeOff tells that the caller has a part of a stream that may go on, and the last
// event it has.
func (a *answer) brokeOff() (after int, cut bool) {
	if a.path != "/stream-resume/a" || a.status != http.StatusOK || a.whole {
		return 0, false
	}
	after = max(a.after, lastEvent(a.body))
	return after, after > 0
}

// request is the body of the request.
func (a *answer) request() string { return cmp.Or(a.sent, "body of "+a.id) }

// call sends a request to an instance and keeps its answer.
func (c *caller) call(a *answer, random *rand.Rand) {
	c.exchange(a, c.world.instances[random.IntN(len(c.world.instances))])
	a.ended = time.Now()
	c.all = append(c.all, *a)
	if a.status != http.StatusOK {
		time.Sleep(30 * time.Millisecond) // a caller that was refused doesn't come back at once
	}
}

func (c *caller) exchange(a *answer, in *instance) {
	request, err := http.NewRequest(http.MethodPost, "http://"+in.callers+a.path, strings.NewReader(a.request()))
	if err != nil {
		panic(err) // a path of our own
	}
	request.Host = "host.example"
	request.Header = standin.Call{
		ID: a.id, Key: (*c.world.keys.Load())[0], Wait: requestWait, SharedPart: "s1", Pieces: a.pieces[:], PieceKey: "key" + a.id,
		LastEvent: a.after,
	}.Header()
	response, err := c.client.Do(request)
	if err != nil {
		return // the status stays 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.whole = response.StatusCode, string(body), err == nil
}
