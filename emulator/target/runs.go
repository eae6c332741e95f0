package target

import (
	"maps"
	"sync"
)

// maxCountedRequests bounds the number of counted request ids; the oldest is
// dropped.
const maxCountedRequests = 1 << 16

// maxCountedInputBytes bounds the length of the inputs that are counted.
const maxCountedInputBytes = 256

// RunsReport is the body of GET /admin/runs.
type RunsReport struct {
	// Runs is the number of started runs by request id.
	Runs map[string]int `json:"runs"`
	// Inputs is the number of started runs by first input, by which a test finds
	// the runs of all requests that a caller sent for the same work. Inputs longer
	// than maxCountedInputBytes are not counted.
	Inputs map[string]int `json:"inputs,omitempty"`
	// Started is the total number of runs since the target was created.
	Started int `json:"started"`
	// StartedLeaving is the number of runs that started while the target announced
	// that it shuts down.
	StartedLeaving int `json:"started_leaving"`
}

// runCounter counts started runs, so that a test can verify that a request was run
// at most once.
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
