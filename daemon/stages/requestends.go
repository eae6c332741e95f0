package stages

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods by which requesters report ended requests.
const (
	methodDrop        = "stages.drop"
	methodRequestEnds = "stages.served"
)

const (
	// dropDelay is the time in which the ends of requests are collected for one message.
	dropDelay = 30 * time.Millisecond
	// dropTimeout limits the report that results have been read.
	dropTimeout = 2 * time.Second
	// endWait limits how long a request that is sent again waits for the report of its earlier end,
	// and forwardWait how long an instance that forwards ends delays its response.
	endWait     = time.Second
	forwardWait = endWait / 2
)

// endReport is a message to a holder that reports the ends of requests.
type endReport struct {
	holder string
	ends   []placing.RequestEnd
	// sent is true once the message is on its way; no ends are added then.
	sent bool
	// done is closed when the holder has responded, or the ends are to be reported elsewhere.
	done chan struct{}
}

// Drop reports to the holder that the results of a request have been read, together with the
// performance of the request's engine, or that the caller left. It doesn't wait.
func (s *Stages) Drop(holder string, end placing.RequestEnd) {
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	if holder == self.Address {
		s.queue.drop(end)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addEnd(holder, end)
}

// addEnd adds the end of a request to the next message to a holder. mu must be held.
func (s *Stages) addEnd(holder string, end placing.RequestEnd) {
	report := s.pendingReports[holder]
	if report == nil {
		report = &endReport{holder: holder, done: make(chan struct{})}
		s.pendingReports[holder] = report
		time.AfterFunc(dropDelay, func() { s.sendReport(report) })
	}
	report.ends = append(report.ends, end)
	s.unreported[end.Request] = append(s.unreported[end.Request], report)
}

// sendReport sends a message, unless it has been sent.
func (s *Stages) sendReport(report *endReport) {
	s.mu.Lock()
	if report.sent {
		s.mu.Unlock()
		return
	}
	report.sent = true
	delete(s.pendingReports, report.holder)
	ends := s.unreportedEnds(report)
	s.mu.Unlock()
	var err error
	if len(ends) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		err = s.reportEnds(ctx, report.holder, ends)
	}
	if err != nil {
		// The holder drops the requests at their deadlines.
		telemetry.ErrorS(err, "Holder of the stage queue was not told of ended requests", telemetry.Event{Peer: report.holder, Count: len(ends)})
		s.dropElsewhere(report)
	}
	s.completeReport(report)
}

// unreportedEnds returns the ends of a message whose requests weren't sent again meanwhile. mu must be
// held.
func (s *Stages) unreportedEnds(report *endReport) []placing.RequestEnd {
	var ends []placing.RequestEnd
	for _, end := range report.ends {
		if slices.Contains(s.unreported[end.Request], report) {
			ends = append(ends, end)
		}
	}
	return ends
}

// completeReport releases the requests that wait for a message.
func (s *Stages) completeReport(report *endReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range report.ends {
		others := slices.DeleteFunc(s.unreported[end.Request], func(r *endReport) bool { return r == report })
		if s.unreported[end.Request] = others; len(others) == 0 {
			delete(s.unreported, end.Request)
		}
	}
	close(report.done)
}

// awaitEndReports sends the reports of a request's earlier ends at once, and waits until they have
// arrived or the context ends. It reports whether none is left.
func (s *Stages) awaitEndReports(ctx context.Context, id string) bool {
	for {
		s.mu.Lock()
		reports := s.unreported[id]
		if len(reports) == 0 {
			s.mu.Unlock()
			return true
		}
		report := reports[0]
		s.mu.Unlock()
		go s.sendReport(report)
		select {
		case <-report.done:
		case <-ctx.Done():
			return false
		}
	}
}

// settleEnds makes sure that the earlier ends of a request don't end it as it is sent again: a holder
// distinguishes requests only by their IDs.
func (s *Stages) settleEnds(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	if s.awaitEndReports(ctx, id) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unreported, id)
}

// reportEnds reports ended requests to a holder. A holder of an earlier version receives only
// the IDs of the requests.
func (s *Stages) reportEnds(ctx context.Context, holder string, ends []placing.RequestEnd) error {
	if reportsProgress(ends) {
		err := s.reportProgress(ctx, holder, ends)
		ends = withoutStreamEnds(ends)
		if !errors.Is(err, peer.ErrNoMethod) || len(ends) == 0 {
			return withoutNoMethod(err)
		}
	}
	body, err := encode(ends)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if _, err = s.cluster.Call(ctx, holder, methodRequestEnds, body); !errors.Is(err, peer.ErrNoMethod) {
		return err
	}
	ids := make([]string, len(ends))
	for i, end := range ends {
		ids[i] = end.Request
	}
	if body, err = msgpack.Marshal(ids); err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = s.cluster.Call(ctx, holder, methodDrop, body)
	return err
}

// dropElsewhere reports ended requests to the present holder, which may have taken them over
// from the instance that didn't respond.
func (s *Stages) dropElsewhere(failed *endReport) {
	next, _ := s.pickHolder(time.Now())
	if next.Address == failed.holder || next.Address == "" {
		return
	}
	self, _ := s.cluster.View().Find(s.cluster.View().Self)
	s.mu.Lock()
	ends := s.unreportedEnds(failed)
	if next.Address != self.Address {
		for _, end := range ends {
			s.addEnd(next.Address, end)
		}
		ends = nil
	}
	s.mu.Unlock()
	s.queue.drop(ends...)
}

func (s *Stages) handleDrop(ctx context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ids []string
	if err := msgpack.Unmarshal(body, &ids); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	ends := make([]placing.RequestEnd, len(ids))
	for i, id := range ids {
		ends[i].Request = id
	}
	s.dropEnded(ctx, ends)
	return nil, nil
}

func (s *Stages) handleRequestEnds(ctx context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var ends []placing.RequestEnd
	if err := msgpack.Unmarshal(body, &ends); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.dropEnded(ctx, ends)
	return nil, nil
}
