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

const (
	// methodRequestProgress reports the first events and the ends of requests' streams. Instances of
	// earlier versions don't know it; they are told of first events only.
	methodRequestProgress = "stages.progress"
	// methodRunning sends the requests at the engines to the next holder. One of an earlier version
	// does without.
	methodRunning = "stages.running"
)

// runningPerMessage limits the requests in one message, to some 150 KB.
const runningPerMessage = 1000

// requestProgress is an entry of methodRequestProgress.
type requestProgress struct {
	Request, Engine string
	FirstEvent      time.Duration
	Running         bool
	Duration        time.Duration
	Events          int
	Complete        bool
}

// PlaceByCost has engines chosen by the work that each has left. It must be called before Run.
func (s *Stages) PlaceByCost() {
	s.placesByCost = true
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.engines = placing.NewTableByCost()
}

// reportsProgress reports whether ends concern requests whose streams go on or have ended.
func reportsProgress(ends []placing.RequestEnd) bool {
	return slices.ContainsFunc(ends, func(end placing.RequestEnd) bool { return end.Running || end.EndsStream() })
}

// reportProgress reports ended requests with what concerns the ends of their streams.
func (s *Stages) reportProgress(ctx context.Context, holder string, ends []placing.RequestEnd) error {
	entries := make([]requestProgress, len(ends))
	for i, end := range ends {
		entries[i] = requestProgress(end)
	}
	body, err := encode(entries)
	if err == nil {
		_, err = s.cluster.Call(ctx, holder, methodRequestProgress, body)
	}
	return err
}

// withoutNoMethod returns nil for an error of a holder that has no use for a report.
func withoutNoMethod(err error) error {
	if errors.Is(err, peer.ErrNoMethod) {
		return nil
	}
	return err
}

// withoutStreamEnds returns the reports that a holder of an earlier version understands.
func withoutStreamEnds(ends []placing.RequestEnd) []placing.RequestEnd {
	return slices.DeleteFunc(slices.Clone(ends), func(end placing.RequestEnd) bool { return end.EndsStream() })
}

func (s *Stages) handleRequestProgress(ctx context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var entries []requestProgress
	if err := msgpack.Unmarshal(body, &entries); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	ends := make([]placing.RequestEnd, len(entries))
	for i, entry := range entries {
		ends[i] = placing.RequestEnd(entry)
	}
	s.dropEnded(ctx, ends)
	return nil, nil
}

// sendRunning sends the requests at the engines to the instance that now holds the queue. Without
// them, it takes engines with long streams for idle until these have ended.
func (s *Stages) sendRunning(ctx context.Context, address string) {
	s.queue.mu.Lock()
	running := s.queue.engines.Running(time.Now())
	s.queue.mu.Unlock()
	for part := range slices.Chunk(running, runningPerMessage) {
		body, err := encode(part)
		if err == nil {
			_, err = s.cluster.Call(ctx, address, methodRunning, body)
		}
		if errors.Is(err, peer.ErrNoMethod) {
			return
		}
		if err != nil {
			telemetry.ErrorS(err, "Next holder of the stage queue was not told what engines run", telemetry.Event{Address: address})
			return
		}
	}
}

func (s *Stages) handleRunning(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var running []placing.RunningRequest
	if err := msgpack.Unmarshal(body, &running); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.engines.MergeRunning(time.Now(), running)
	return nil, nil
}
