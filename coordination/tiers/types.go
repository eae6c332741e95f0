// Package tiers decides which queued work of a pool an instance dispatches
// next. Between tiers order is strict by rank, also across instances, and
// capacity that the higher ranks do not need flows down to the lower ones. It
// is a state machine: time and events go in, typed actions come out. The caller
// serialises the calls.
package tiers

import "time"

// MaxRanks is the number of ranks kept apart, so that digests have a fixed
// size; ranks from MaxRanks-1 on share the last place.
const MaxRanks = 8

// Item is one stage of one request that wants a slot of the pool.
type Item struct {
	// ID is unique within the gate.
	ID uint64
	// Rank is the place of the tier, made by Place; 0 is the highest.
	Rank int
	// LatestStart is the last moment at which starting is of use. Items of one
	// rank are dispatched in order of LatestStart, then of arrival.
	LatestStart time.Time
	// Resumable work may be cancelled and resumed for a higher tier.
	Resumable bool
	// Preemptions counts how often this work was cancelled for a higher tier.
	Preemptions int
}

// ActionKind says what the caller has to do.
type ActionKind uint8

// The kinds of action.
const (
	// Dispatch starts the item.
	Dispatch ActionKind = iota + 1
	// Refuse answers the item as not run.
	Refuse
	// Preempt cancels the running item, which is to be enqueued again for the
	// rest of its work, and reported as finished once it is cancelled.
	Preempt
)

// Reason says why an item was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonQueueFull means that the queue is full of work of the same or a
	// higher rank.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDisplaced means that work of a higher rank took the place.
	ReasonDisplaced Reason = "displaced"
	// ReasonTooLate means that the item waited past the point of use.
	ReasonTooLate Reason = "too_late"
)

// Action is one thing the caller has to do.
type Action struct {
	Kind ActionKind
	ID   uint64
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
	Reason     Reason
}

// Digest is what one instance tells its peers about a pool. Its size is fixed.
type Digest struct {
	Ranks [MaxRanks]RankLoad
}

// RankLoad is the load of one rank, in requests.
type RankLoad struct {
	// InFlight is the number of dispatched requests.
	InFlight float32 `msgpack:"f"`
	// Demand is the recent mean of dispatched and queued requests.
	Demand float32 `msgpack:"d"`
}

// PeerLoad is the sum of the peers' digests.
type PeerLoad struct {
	// Instances is the number of live instances, this one included.
	Instances int
	// Heard is the number of peers whose digests are in the sum.
	Reporting int
	Ranks     [MaxRanks]RankLoad
}

// Stats is a reading of the gate, for metrics.
type Stats struct {
	Queued, InFlight [MaxRanks]int
	Capacity         int
	// Total is the number of requests that all instances are thought to have
	// in flight.
	TotalInFlight float64
	// Rate is the number of requests finished a second.
	CompletionRate float64
}

// Place returns the position of a tier's rank among the ranks in force, which is
// the rank that a gate takes. Records may have ranks such as 10, 20 and 30:
// taken as they are, all would share the last place and no order be kept.
func RankIndex(inForce []int, rank int) int {
	above := make(map[int]bool)
	for _, r := range inForce {
		if r < rank {
			above[r] = true
		}
	}
	return clampRank(len(above))
}

func clampRank(rank int) int {
	return min(max(rank, 0), MaxRanks-1)
}
