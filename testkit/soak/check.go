package soak

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// seen is what targets saw: the requests that arrived, by id, and the pieces of
// stages that they made, by handle.
type targetLog struct {
	arrivals map[string][]standin.Arrival
	produced map[string]standin.Piece
	// pieces counts the pieces of each request.
	pieceCounts map[string]int
}

func (w *testbed) readTargetLog() targetLog {
	s := targetLog{map[string][]standin.Arrival{}, map[string]standin.Piece{}, map[string]int{}}
	for _, t := range w.targets {
		for _, a := range t.Arrivals() {
			s.arrivals[a.ID] = append(s.arrivals[a.ID], a)
		}
		for handle, p := range t.Results() {
			s.produced[handle] = p
			s.pieceCounts[p.ID]++
		}
	}
	return s
}

// check compares what callers and targets saw. Crashing are the answers to the request that
// crashes targets, which aren't to be served.
func (w *testbed) checkResults(all, crashing []callResult, s targetLog, calmFrom time.Time) {
	asked := map[string]callResult{}
	for _, a := range crashing {
		asked[a.id] = a
	}
	calmAll, calmServed := 0, 0
	for _, a := range all {
		asked[a.id] = a
		w.checkResult(a, s.arrivals[a.id])
		if a.ended.After(calmFrom) {
			calmAll++
			if a.status == http.StatusOK && a.complete {
				calmServed++
			}
		}
	}
	for id, arrivals := range s.arrivals {
		w.checkArrivals(id, asked, arrivals, s.produced)
	}
	w.checkPieces(asked, s.produced)
	if float64(calmServed) < minServedShare*float64(calmAll) || calmAll == 0 {
		w.violation("after the faults %d of %d are served", calmServed, calmAll)
	}
}

// runs counts the targets that worked on a request.
func countRuns(arrivals []standin.Arrival) int {
	ran := 0
	for _, arrival := range arrivals {
		if arrival.Executed {
			ran++
		}
	}
	return ran
}

// checkAnswer looks at one answer.
func (w *testbed) checkResult(a callResult, arrivals []standin.Arrival) {
	ran := countRuns(arrivals)
	if a.once && ran > 1 {
		w.violation("%s %s may run once and ran %d times", a.path, a.id, ran)
	}
	if !a.once && ran > 2 {
		w.violation("%s %s ran at %d targets", a.path, a.id, ran)
	}
	if a.once && ran > 0 && a.status == http.StatusServiceUnavailable {
		w.violation("%s %s was called not run and ran", a.path, a.id)
	}
	if a.status == http.StatusOK {
		w.checkBody(a)
	}
}

// checkBody looks at the body of a success, and at what a caller has of one that broke
// off.
func (w *testbed) checkBody(a callResult) {
	body, want := a.body, "answer to "+a.id
	if strings.HasPrefix(a.path, "/stream") {
		body, want = withoutComments(body), streamEvents(a.resumedAfter)
	}
	switch {
	case a.complete && body != want:
		w.violation("%s %s behind event %d was answered %q, its targets' faults: %v", a.path, a.id, a.resumedAfter, a.body, w.injector.injectedInto(a.id))
	case !a.complete && !isPartial(body, want):
		w.violation("%s %s behind event %d got %q before it broke off, its targets' faults: %v", a.path, a.id, a.resumedAfter, a.body, w.injector.injectedInto(a.id))
	}
}

// checkArrivals looks at what targets got of a request.
func (w *testbed) checkArrivals(id string, asked map[string]callResult, arrivals []standin.Arrival, made map[string]standin.Piece) {
	a, ok := asked[id]
	if !ok {
		w.violation("a target got %s, which nobody sent", id)
		return
	}
	for _, arrival := range arrivals {
		if arrival.Body != a.requestBody() || arrival.Path != a.path || arrival.Account() != "account-1" || arrival.HasKey() {
			w.violation("%s %s reached a target changed: %v", a.path, id, arrival)
		}
		if after, err := resumedAfter(arrival); err != nil || after < a.resumedAfter {
			w.violation("%s %s of a caller that has event %d reached a target behind %q", a.path, id, a.resumedAfter, arrival.ResumesAfter())
		}
		if a.path == "/stream-staged/a" {
			w.checkInputs(id, arrival.Inputs(), a.pieceCounts[1], 1, made)
		}
	}
}

// lastID is the event behind which a target was told to go on; 0 for none.
func resumedAfter(a standin.Arrival) (int, error) {
	if a.ResumesAfter() == "" {
		return 0, nil
	}
	return strconv.Atoi(a.ResumesAfter())
}

// checkInputs looks at the results that are read together: all of one stage of one
// request, each once.
func (w *testbed) checkInputs(id string, inputs []string, want, stage int, made map[string]standin.Piece) {
	seen := map[int]bool{}
	for _, handle := range inputs {
		p, ok := made[handle]
		if !ok || p.ID != id || p.Stage != stage || seen[p.Index] {
			w.violation("%s reads result %s of %s, stage %d, piece %d", id, handle, p.ID, p.Stage, p.Index)
		}
		seen[p.Index] = true
	}
	if len(inputs) != want {
		w.violation("%s reads %d results of stage %d, not %d", id, len(inputs), stage, want)
	}
}

// checkPieces looks at the pieces that targets were asked for.
func (w *testbed) checkPieces(asked map[string]callResult, made map[string]standin.Piece) {
	for _, p := range made {
		a, ok := asked[p.ID]
		if !ok || p.Stage > 1 || p.Index >= a.pieceCounts[p.Stage] {
			w.violation("a target made piece %d of stage %d of %s", p.Index, p.Stage, p.ID)
			continue
		}
		if p.Stage == 1 && a.pieceCounts[0] > 0 {
			w.checkInputs(p.ID, p.Inputs, a.pieceCounts[0], 0, made)
		}
	}
}
