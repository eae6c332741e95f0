package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// Report is what a run found.
type Report struct {
	Seed uint64
	// Answers counts the requests, Served those answered well.
	Answers, Served int
	// Broken are the promises that were broken, Faults what was done.
	Broken, Faults []string
}

const (
	// settle is how long after the last fault the fleet has to be well again.
	settle = 4 * time.Second
	// calm is how long it is watched then, and calmShare what it must serve.
	calm      = 2 * time.Second
	calmShare = 0.9
)

// Run plays one seed.
func Run(o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	for _, t := range w.targets {
		t.Stream(eventsOfAStream, 10*time.Millisecond)
	}
	time.Sleep(time.Second) // the instances find one another
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	answers := make(chan []answer, 1)
	go func() { answers <- w.callers(ctx) }()
	w.harm(time.Now().Add(o.Faults))
	healed := time.Now()
	time.Sleep(settle + calm)
	stop()
	all := <-answers
	w.check(all, healed.Add(settle))
	report := Report{Seed: o.Seed, Answers: len(all), Broken: w.broken, Faults: w.faults}
	for _, a := range all {
		if a.status == http.StatusOK && a.whole {
			report.Served++
		}
	}
	return report, nil
}

// check compares what callers and targets saw.
func (w *world) check(all []answer, calmFrom time.Time) {
	arrived := map[string][]standin.Arrival{}
	made := map[string]standin.Piece{}
	for _, t := range w.targets {
		for _, a := range t.Arrivals() {
			arrived[a.ID] = append(arrived[a.ID], a)
		}
		for handle, p := range t.Made() {
			made[handle] = p
		}
	}
	asked := map[string]answer{}
	calmAll, calmServed := 0, 0
	for _, a := range all {
		asked[a.id] = a
		w.checkAnswer(a, arrived[a.id])
		if a.ended.After(calmFrom) {
			calmAll++
			if a.status == http.StatusOK && a.whole {
				calmServed++
			}
		}
	}
	for id, arrivals := range arrived {
		w.checkArrivals(id, asked, arrivals, made)
	}
	w.checkPieces(asked, made)
	if float64(calmServed) < calmShare*float64(calmAll) || calmAll == 0 {
		w.breach("after the faults %d of %d are served", calmServed, calmAll)
	}
}

// checkAnswer looks at one answer.
func (w *world) checkAnswer(a answer, arrivals []standin.Arrival) {
	ran := 0
	for _, arrival := range arrivals {
		if arrival.Ran {
			ran++
		}
	}
	if a.once && ran > 1 {
		w.breach("%s %s may run once and ran %d times", a.path, a.id, ran)
	}
	if !a.once && ran > 2 {
		w.breach("%s %s ran at %d targets", a.path, a.id, ran)
	}
	if a.once && ran > 0 && a.status == http.StatusServiceUnavailable {
		w.breach("%s %s was called not run and ran", a.path, a.id)
	}
	if a.status != http.StatusOK || !a.whole {
		return
	}
	want := "answer to " + a.id
	if strings.HasPrefix(a.path, "/stream") {
		want = ""
		for i := 1; i <= eventsOfAStream; i++ {
			want += fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		}
	}
	if a.body != want {
		w.breach("%s %s was answered %q", a.path, a.id, a.body)
	}
}

// checkArrivals looks at what targets got of a request.
func (w *world) checkArrivals(id string, asked map[string]answer, arrivals []standin.Arrival, made map[string]standin.Piece) {
	a, ok := asked[id]
	if !ok {
		w.breach("a target got %s, which nobody sent", id)
		return
	}
	for _, arrival := range arrivals {
		if arrival.Body != "body of "+id || arrival.Path != a.path || arrival.Account() != "account-1" || arrival.HasKey() {
			w.breach("%s %s reached a target changed: %v", a.path, id, arrival)
		}
		if a.path == "/stream-staged/a" {
			w.checkInputs(id, arrival.Inputs(), a.pieces[1], 1, made)
		}
	}
}

// checkInputs looks at the results that are read together: all of one stage of one
// request, each once.
func (w *world) checkInputs(id string, inputs []string, want, stage int, made map[string]standin.Piece) {
	seen := map[int]bool{}
	for _, handle := range inputs {
		p, ok := made[handle]
		if !ok || p.ID != id || p.Stage != stage || seen[p.Index] {
			w.breach("%s reads result %s of %s, stage %d, piece %d", id, handle, p.ID, p.Stage, p.Index)
		}
		seen[p.Index] = true
	}
	if len(inputs) != want {
		w.breach("%s reads %d results of stage %d, not %d", id, len(inputs), stage, want)
	}
}

// checkPieces looks at the pieces that targets were asked for.
func (w *world) checkPieces(asked map[string]answer, made map[string]standin.Piece) {
	for _, p := range made {
		a, ok := asked[p.ID]
		if !ok || p.Stage > 1 || p.Index >= a.pieces[p.Stage] {
			w.breach("a target made piece %d of stage %d of %s", p.Index, p.Stage, p.ID)
			continue
		}
		if p.Stage == 1 && a.pieces[0] > 0 {
			w.checkInputs(p.ID, p.Inputs, a.pieces[0], 0, made)
		}
	}
}
