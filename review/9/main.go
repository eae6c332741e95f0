// Command 9 shows what becomes of streams if all machines lose power while a service has two software versions.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/review/bed2"
)

const (
	service  = "chat"
	machines = 3
	streams  = 24
	events   = 120
	pause    = 150 * time.Millisecond
	deadline = 20 * time.Second
	// gap is the longest of two seconds, four times the objective and eight times the pause of the route.
	gap     = 5600 * time.Millisecond
	retries = 3
	// dark is how long all machines have no power, contact is contact_ms.
	dark    = 1500 * time.Millisecond
	contact = 3 * time.Second
)

var route = bed2.Route{
	Name: "chat", Prefix: "/chat/", Kind: "streaming", Service: service,
	Objective: 1400, Timeout: 20000, Gap: 300, MaxAttempts: 2, Resumable: true,
}

func main() { bed2.Main(run) }

func run(b *bed2.Bed) (broken bool, err error) {
	for i := range 6 {
		if _, err := b.AddWorker(fmt.Sprintf("i-1%d", i), service, fmt.Sprintf("zone-%d", i/2+1), fmt.Sprint("v", i%2+1), bed2.StreamEvents(events, pause)); err != nil {
			return false, err
		}
	}
	b.Configure(1, []string{service}, route)
	if err := b.AddInstances(machines); err != nil {
		return false, err
	}
	for _, in := range b.Instances {
		if err := in.AddLink(); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	var all []*bed2.Stream
	for n := range streams {
		all = append(all, open(b.Instances[n%machines], n))
	}
	time.Sleep(2 * time.Second)
	var startedAt time.Time
	if b.Trouble {
		b.Logf("all machines lose power")
		for _, in := range b.Instances {
			in.Link.SetDark(true)
		}
		for _, in := range b.Instances {
			in.Kill()
		}
		time.Sleep(dark)
		for _, in := range b.Instances {
			if err := in.Start(false); err != nil {
				return false, err
			}
			in.Link.SetDark(false)
		}
		startedAt = time.Now()
		if err := b.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
		b.Logf("all machines run again")
	} else {
		time.AfterFunc(gap, func() {
			for _, s := range all {
				s.Leave() // the clients leave, as they do if the machines are lost
			}
		})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	taken, goOn, mixed := 0, 0, 0
	for n, s := range all {
		wg.Go(func() {
			s.Wait()
			tried, on, versions := resume(b, s, n, startedAt)
			mu.Lock()
			defer mu.Unlock()
			if tried {
				taken++
			}
			if on {
				goOn++
			}
			if versions > 1 {
				mixed++
			}
		})
	}
	wg.Wait()
	began := 0
	for n := range streams {
		s := open(b.Instances[n%machines], streams+n)
		first(s)
		if s.Last() > 0 {
			began++
		}
	}
	b.Logf("streams taken up at machines in touch: %d, of which went on: %d; new streams: %d, of which began: %d; of two versions: %d", taken, goOn, streams, began, mixed)
	if taken < 12 {
		return false, fmt.Errorf("only %d streams were taken up", taken)
	}
	return float64(goOn)/float64(taken) < float64(began)/streams/2, nil
}

func open(in *bed2.Instance, n int) *bed2.Stream {
	return bed2.Open(in, "/chat/a", bed2.NewID(), fmt.Sprint("prompt ", n), deadline, gap, nil)
}

// first waits for the first event of a stream, or its end, and leaves it.
func first(s *bed2.Stream) {
	done := make(chan struct{})
	go func() {
		s.Wait()
		close(done)
	}()
	select {
	case <-s.Began:
	case <-done:
	}
	s.Leave()
	s.Wait()
}

// resume takes up a stream. It reports whether a machine in touch was asked, whether the stream goes on, and of how
// many versions its events are.
func resume(b *bed2.Bed, s *bed2.Stream, n int, startedAt time.Time) (inTouch, goesOn bool, versions int) {
	seen := map[string]bool{}
	for _, e := range s.Events {
		seen[e.Data[:2]] = true
	}
	b.Logf("stream %s has %d events, silent %v; it is taken up", s.ID, len(s.Events), s.Silent)
	for try := range retries {
		in := b.Instances[(n+try+1)%machines]
		inTouch = inTouch || time.Since(startedAt) > contact
		again := s.TakeUp(in, "/chat/a", fmt.Sprint("prompt ", n), gap)
		first(again)
		for _, e := range again.Events {
			seen[e.Data[:2]] = true
		}
		b.Logf("stream %s, try %d at %s: status %d %s, events %d", s.ID, try+1, in.Name, again.Status, again.Refusal, len(again.Events))
		if again.Last() > 0 {
			return inTouch, true, len(seen)
		}
		time.Sleep(bed2.Answer{Header: again.Header}.RetryAfter())
	}
	return inTouch, false, len(seen)
}
