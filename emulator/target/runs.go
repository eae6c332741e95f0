package target

import (
	"maps"
	"sync"
)

// runsKept bounds the request ids that are counted; the oldest is forgotten.
const maxCountedRequests = 1 << 16

// inputKept is the length of the inputs that are counted, in bytes.
const maxCountedInputBytes = 256

// RunsReport is the body of GET /admin/runs.
type RunsReport struct {
	// Runs counts, by request id, how often work was started.
	Runs map[string]int `json:"runs"`
	// Inputs counts the same by the first input, by which a test finds the runs
	// of all requests that a caller sent for one piece of work.
	// Inputs longer than inputKept bytes are not counted.
	Inputs map[string]int `json:"inputs,omitempty"`
	// Started is the number of all runs since the target was made.
	Started int `json:"started"`
	// StartedLeaving is the number of runs that started while the target
	// announced that it is leaving.
	StartedLeaving int `json:"started_leaving"`
}

// runCounter counts the runs that were started, so that a test can prove that
// a request was run at most once.
type runCounter struct {
	mu     sync.Mutex
	report RunsReport
	order  []string
}

func newRunCounter() *runCounter {
	return &runCounter{report: RunsReport{Runs: make(map[string]int)}}
}

func (c *runCounter) count(requestID string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Started++
	if leaving {
		c.report.StartedLeaving++
	}
	if _, known := c.report.Runs[requestID]; !known {
		c.addRequest(requestID)
	}
	c.report.Runs[requestID]++
}

func (c *runCounter) addRequest(requestID string) {
	c.order = append(c.order, requestID)
	if len(c.order) <= maxCountedRequests {
		return
	}
	delete(c.report.Runs, c.order[0])
	c.order = c.order[1:]
}

func (c *runCounter) snapshot() RunsReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	report.Runs = maps.Clone(report.Runs)
	return report
}
