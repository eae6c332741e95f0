// Command 7 shows what clients get of a server's long failure if it can't be repeated elsewhere.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/review/bed2"
)

const (
	service  = "reports"
	machines = 3
	// others is the number of servers of another service.
	others = 6
	// failing is the share of its requests that the faulty server fails, length how long it is faulty.
	failing = 0.45
	length  = 6500 * time.Millisecond
	// size is the size of the answers, in bytes.
	size     = 150_000
	perSec   = 30
	deadline = 1500 * time.Millisecond
)

var route = bed2.Route{
	Name: "reports", Prefix: "/reports/", Kind: "idempotent", Service: service, Objective: 300, Timeout: 1500, MaxAttempts: 2,
}

func main() { bed2.Main(run) }

func run(b *bed2.Bed) (broken bool, err error) {
	var mu sync.Mutex
	// sent has what servers answered, by their stamp.
	sent := map[string][]byte{}
	faultyUntil := time.Time{}
	add := func(id, service string) error {
		_, err := b.AddWorker(id, service, "zone-1", "v1", func(w http.ResponseWriter, _ *http.Request, run bed2.Run) {
			time.Sleep(20 * time.Millisecond)
			body := []byte(strings.Repeat("line of "+run.Worker+" for "+run.ID+"\n", size/40))
			mu.Lock()
			sent[w.Header().Get("Response-Stamp")] = body
			faulty := run.Worker == "i-11" && time.Now().Before(faultyUntil) && rand.Float64() < failing
			mu.Unlock()
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			if faulty {
				w.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = w.Write(body) // the machine may have left
		})
		return err
	}
	for i := range 2 {
		if err := add(fmt.Sprintf("i-1%d", i), service); err != nil {
			return false, err
		}
	}
	for i := range others {
		if err := add(fmt.Sprintf("i-2%d", i), "lookups"); err != nil {
			return false, err
		}
	}
	b.Configure(1, []string{service, "lookups"}, route, bed2.Route{
		Name: "lookups", Prefix: "/lookups/", Kind: "idempotent", Service: "lookups", Objective: 300, Timeout: 1500, MaxAttempts: 2,
	})
	if err := b.AddInstances(machines); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if b.Trouble {
		b.Logf("server i-11 of two of %s, one of %d in all, fails %v of its requests for %v", service, others+2, failing, length)
		mu.Lock()
		faultyUntil = time.Now().Add(length)
		mu.Unlock()
	}
	counts := map[string]int{}
	var wg sync.WaitGroup
	for n := range int(perSec * length.Seconds()) {
		time.Sleep(time.Second / perSec)
		wg.Go(func() {
			id := bed2.NewID()
			in := b.Instances[n%machines]
			got := bed2.Send(in, http.MethodGet, "/reports/a", id, deadline, "")
			stamp := got.Header.Get("Response-Stamp")
			mu.Lock()
			defer mu.Unlock()
			whole := sent[stamp]
			what := fmt.Sprintf("%d", got.Status)
			switch {
			case got.Err != nil:
				what = "broken off"
			case stamp == "":
				what += " of the machine's own"
			case bytes.Equal(got.Body, whole):
				what += " whole"
			default:
				what += " cut, looks complete"
				broken = true
				b.Logf("request %s at %s: status %d, stamp %s, Content-Length %s, %d bytes, all read without an error; the server's body has %d bytes",
					id, in.Name, got.Status, stamp, got.Header.Get("Content-Length"), len(got.Body), len(whole))
			}
			counts[what]++
		})
	}
	wg.Wait()
	b.Logf("answers: %v", counts)
	return broken, nil
}
