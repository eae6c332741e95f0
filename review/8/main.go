// Command 8 shows what becomes of the streams of a machine that is lost shortly before a server of another software
// version joins their service.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/ivyhollow/ivyhollow/review/bed2"
)

const (
	service  = "chat"
	machines = 7
	// taken is the number of streams at the machine that is lost, others that at each other machine.
	taken, others = 20, 2
	events        = 110
	pause         = 150 * time.Millisecond
	deadline      = 20 * time.Second
	// gap is the longest of two seconds, four times the objective and eight times the pause of the route.
	gap     = 4 * time.Second
	retries = 3
	// dark is how long the machine has no power.
	dark = 3400 * time.Millisecond
)

var route = bed2.Route{
	Name: "chat", Prefix: "/chat/", Kind: "streaming", Service: service,
	Objective: 1000, Timeout: 20000, Gap: 300, MaxAttempts: 2, Resumable: true,
}

func main() { bed2.Main(run) }

func run(b *bed2.Bed) (broken bool, err error) {
	for i := range 4 {
		if _, err := b.AddWorker(fmt.Sprintf("i-1%d", i), service, fmt.Sprintf("zone-%d", i%3+1), "v1", bed2.StreamEvents(events, pause)); err != nil {
			return false, err
		}
	}
	b.Configure(1, []string{service}, route)
	if err := b.AddInstances(machines); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the start is long over
	lost := b.Instances[2]
	var streams []*bed2.Stream
	var kept []*bed2.Stream
	for n := range taken {
		streams = append(streams, open(lost, prompt(n)))
	}
	for i, in := range b.Instances {
		for n := range others {
			if in != lost {
				kept = append(kept, open(in, fmt.Sprint("other prompt ", i, n)))
			}
		}
	}
	time.Sleep(2 * time.Second)
	if b.Trouble {
		b.Logf("%s loses power", lost.Name)
		lost.Signal(syscall.SIGSTOP)
		time.AfterFunc(dark, func() {
			lost.Kill()
			b.Logf("%s has power again: %v", lost.Name, lost.Start(false))
		})
	} else {
		time.AfterFunc(dark, func() {
			for _, s := range streams {
				s.Leave() // the clients leave, as they do beside the machine that is lost
			}
		})
	}
	time.Sleep(time.Second)
	if _, err := b.AddWorker("i-20", service, "zone-2", "v2", bed2.StreamEvents(events, pause)); err != nil {
		return false, err
	}
	b.Logf("a server of version v2 joins four of v1")
	var newOnes []*bed2.Stream
	var wg sync.WaitGroup
	goOn, mixed := 0, 0
	var mu sync.Mutex
	for n, s := range streams {
		wg.Go(func() {
			s.Wait()
			on, versions := resume(b, s, n, lost)
			mu.Lock()
			defer mu.Unlock()
			if on {
				goOn++
			}
			if versions > 1 {
				mixed++
			}
		})
	}
	for n := range 20 {
		time.Sleep(300 * time.Millisecond)
		if in := b.Instances[n%machines]; in != lost {
			newOnes = append(newOnes, open(in, fmt.Sprint("new prompt ", n)))
		}
	}
	wg.Wait()
	began := 0
	for _, s := range newOnes {
		s.Leave()
		s.Wait()
		if s.Last() > 0 {
			began++
		}
	}
	for _, s := range kept {
		s.Leave()
	}
	b.Logf("streams taken up: %d, of which went on: %d; new streams: %d, of which began: %d; of two versions: %d", taken, goOn, len(newOnes), began, mixed)
	for _, s := range streams {
		if s.Last() == 0 {
			return false, fmt.Errorf("stream %s had not begun", s.ID)
		}
	}
	share, usual := float64(goOn)/taken, float64(began)/float64(len(newOnes))
	return share < usual/2, nil
}

func open(in *bed2.Instance, prompt string) *bed2.Stream {
	return bed2.Open(in, "/chat/a", bed2.NewID(), prompt, deadline, gap, nil)
}

func prompt(n int) string { return fmt.Sprint("prompt ", n) }

// resume takes up a stream at other machines, as a client does that has lost its connection. It reports whether the
// stream goes on, and of how many versions its events are.
func resume(b *bed2.Bed, first *bed2.Stream, n int, lost *bed2.Instance) (goesOn bool, versions int) {
	seen := map[string]bool{}
	for _, e := range first.Events {
		seen[e.Data[:2]] = true
	}
	b.Logf("stream %s has %d events, last %d, silent %v; it is taken up", first.ID, len(first.Events), first.Last(), first.Silent)
	for try := range retries {
		in := b.Instances[(n+try)%machines]
		if in == lost {
			in = b.Instances[(n+try+1)%machines]
		}
		s := first.TakeUp(in, "/chat/a", prompt(n), gap)
		select {
		case <-s.Began:
			s.Leave()
			s.Wait()
		case <-time.After(gap):
			s.Leave()
			s.Wait()
		case <-wait(s):
		}
		for _, e := range s.Events {
			seen[e.Data[:2]] = true
		}
		b.Logf("stream %s, try %d at %s: status %d %s, retry after %q, events %d", first.ID, try+1, in.Name, s.Status, s.Refusal, s.Header.Get("Retry-After"), len(s.Events))
		if s.Last() > 0 {
			return true, len(seen)
		}
		time.Sleep(bed2.Answer{Header: s.Header}.RetryAfter())
	}
	return false, len(seen)
}

func wait(s *bed2.Stream) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		s.Wait()
		close(done)
	}()
	return done
}
