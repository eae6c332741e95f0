package soak

import (
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
)

// answer is what a caller got.
type answer struct {
	id, path string
	once     bool
	pieces   [2]int
	status   int
	body     string
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
		random := rand.New(rand.NewPCG(w.options.Seed, uint64(i)+1))
		wg.Go(func() {
			// Each caller keeps its connections until they are gone.
			client := &http.Client{Transport: &http.Transport{}, Timeout: callerWait}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				a := w.call(client, random, fmt.Sprintf("%04x%06x", i, n))
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.status != http.StatusOK {
					time.Sleep(30 * time.Millisecond) // a caller that was refused doesn't come back at once
				}
			}
		})
	}
	wg.Wait()
	return all
}

func (w *world) call(client *http.Client, random *rand.Rand, id string) (a answer) {
	kind := paths[random.IntN(len(paths))]
	a = answer{id: id, path: kind.path, once: kind.once, pieces: [2]int{random.IntN(4), 1 + random.IntN(4)}}
	defer func() { a.ended = time.Now() }()
	in := w.instances[random.IntN(len(w.instances))]
	request, err := http.NewRequest(http.MethodPost, "http://"+in.callers+kind.path, strings.NewReader("body of "+id))
	if err != nil {
		return a
	}
	request.Host = "host.example"
	request.Header = standin.Call{
		ID: id, Key: (*w.keys.Load())[0], Wait: requestWait, Subject: "s1", Pieces: a.pieces[:], PieceKey: "key" + id,
	}.Header()
	response, err := client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.whole = response.StatusCode, string(body), err == nil
	return a
}
