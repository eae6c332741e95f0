package soak

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// targetLog is what the targets recorded: the requests that arrived, by id, and the pieces of
// stages that they produced, by handle.
type targetLog struct {
	arrivals map[string][]standin.Arrival
	produced map[string]standin.Piece
	// pieceCounts holds the number of pieces of each request.
	pieceCounts map[string]int
}

func (tb *testbed) readTargetLog() targetLog {
	log := targetLog{map[string][]standin.Arrival{}, map[string]standin.Piece{}, map[string]int{}}
	for _, t := range tb.targets {
		for _, a := range t.Arrivals() {
			log.arrivals[a.ID] = append(log.arrivals[a.ID], a)
		}
		for handle, p := range t.Results() {
			log.produced[handle] = p
			log.pieceCounts[p.ID]++
		}
	}
	return log
}

// checkResults compares what callers and targets recorded. crashing holds the results of the
// request that crashes targets, which need not be served.
func (tb *testbed) checkResults(all, crashing []callResult, log targetLog, calmFrom time.Time) {
	sent := map[string]callResult{}
	for _, a := range crashing {
		sent[a.id] = a
	}
	calmAll, calmServed := 0, 0
	for _, a := range all {
		sent[a.id] = a
		tb.checkResult(a, log.arrivals[a.id])
		if a.ended.After(calmFrom) && !a.left {
			calmAll++
			if a.status == http.StatusOK && a.complete {
				calmServed++
			}
		}
	}
	for id, arrivals := range log.arrivals {
		tb.checkArrivals(id, sent, arrivals, log.produced)
	}
	tb.checkPieces(sent, log.produced)
	if float64(calmServed) < minServedShare*float64(calmAll) || calmAll == 0 {
		tb.violation("after the faults %d of %d are served", calmServed, calmAll)
	}
}

// countRuns returns how many targets ran a request.
func countRuns(arrivals []standin.Arrival) int {
	ran := 0
	for _, arrival := range arrivals {
		if arrival.Executed {
			ran++
		}
	}
	return ran
}

// refused reports whether the response promises that the request has not run.
func (a *callResult) refused() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// checkResult checks one result against the arrivals of its request at targets.
func (tb *testbed) checkResult(a callResult, arrivals []standin.Arrival) {
	ran := countRuns(arrivals)
	if a.once && ran > 1 {
		tb.violation("%s %s may run once and ran %d times", a.path, a.id, ran)
	}
	if !a.once && ran > 2 {
		tb.violation("%s %s ran at %d targets", a.path, a.id, ran)
	}
	if a.once && ran > 0 && a.refused() {
		tb.violation("%s %s was called not run and ran", a.path, a.id)
	}
	if a.status == http.StatusOK {
		tb.checkBody(a)
	}
}

// checkBody checks the body of a successful response, and the received part of one that broke
// off.
func (tb *testbed) checkBody(a callResult) {
	body, want := a.body, "answer to "+a.id
	if strings.HasPrefix(a.path, "/stream") {
		body, want = withoutComments(body), streamEvents(a.resumedAfter)
	}
	switch {
	case a.complete && body != want:
		tb.violation("%s %s behind event %d was answered %q, its targets' faults: %v", a.path, a.id, a.resumedAfter, a.body, tb.injector.injectedInto(a.id))
	case !a.complete && !isPartial(body, want):
		tb.violation("%s %s behind event %d got %q before it broke off, its targets' faults: %v", a.path, a.id, a.resumedAfter, a.body, tb.injector.injectedInto(a.id))
	}
}

// checkArrivals checks what targets received of a request.
func (tb *testbed) checkArrivals(id string, sent map[string]callResult, arrivals []standin.Arrival, produced map[string]standin.Piece) {
	a, ok := sent[id]
	if !ok {
		tb.violation("a target got %s, which nobody sent", id)
		return
	}
	for _, arrival := range arrivals {
		if arrival.Body != a.requestBody() || arrival.Path != a.path || arrival.Account() != cmp.Or(a.account, "account-1") || arrival.HasKey() {
			tb.violation("%s %s reached a target changed: %v", a.path, id, arrival)
		}
		if after, err := resumedAfter(arrival); err != nil || after < a.resumedAfter {
			tb.violation("%s %s of a caller that has event %d reached a target behind %q", a.path, id, a.resumedAfter, arrival.ResumesAfter())
		}
		if a.path == "/stream-staged/a" {
			tb.checkInputs(id, arrival.Inputs(), a.pieceCounts[1], 1, produced)
		}
	}
}

// resumedAfter returns the event after which a target was requested to resume; 0 for none.
func resumedAfter(a standin.Arrival) (int, error) {
	if a.ResumesAfter() == "" {
		return 0, nil
	}
	return strconv.Atoi(a.ResumesAfter())
}

// checkInputs checks the results that one piece or request reads: all of one stage of the same
// request, each once.
func (tb *testbed) checkInputs(id string, inputs []string, want, stage int, produced map[string]standin.Piece) {
	seen := map[int]bool{}
	for _, handle := range inputs {
		p, ok := produced[handle]
		if !ok || p.ID != id || p.Stage != stage || seen[p.Index] {
			tb.violation("%s reads result %s of %s, stage %d, piece %d", id, handle, p.ID, p.Stage, p.Index)
		}
		seen[p.Index] = true
	}
	if len(inputs) != want {
		tb.violation("%s reads %d results of stage %d, not %d", id, len(inputs), stage, want)
	}
}

// checkPieces checks the pieces that targets produced.
func (tb *testbed) checkPieces(sent map[string]callResult, produced map[string]standin.Piece) {
	for _, p := range produced {
		a, ok := sent[p.ID]
		if !ok || p.Stage > 1 || p.Index >= a.pieceCounts[p.Stage] {
			tb.violation("a target made piece %d of stage %d of %s", p.Index, p.Stage, p.ID)
			continue
		}
		if p.Stage == 1 && a.pieceCounts[0] > 0 {
			tb.checkInputs(p.ID, p.Inputs, a.pieceCounts[0], 0, produced)
		}
	}
}
