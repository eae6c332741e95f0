// Package tiers decides which queued work of a pool an instance dispatches
// next. Priority between tiers is strict by rank, also across instances, and
// capacity that the higher ranks do not need is available to the lower ones.
// The package is a state machine: it receives events with their time and
// returns actions. The caller serialises the calls.
package tiers

import "time"

// MaxRanks is the number of distinct ranks; it is fixed so that digests have a
// fixed size. Ranks from MaxRanks-1 on are treated as one.
const MaxRanks = 8

// Item is one stage of one request that needs a slot of the pool.
type Item struct {
	// ID is unique within the gate.
	ID uint64
	// Rank is the priority of the tier as RankIndex returns it; 0 is the highest.
	Rank int
	// LatestStart is the last moment at which the item can start and still meet
	// its deadline. Items of one rank are dispatched in order of LatestStart,
	// then of arrival.
	LatestStart time.Time
	// Resumable work may be cancelled for a higher tier and resumed later.
	Resumable bool
	// Preemptions counts how often this item was cancelled for a higher tier.
	Preemptions int
}

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of action.
const (
	// Dispatch starts the item.
	Dispatch ActionKind = iota + 1
	// Refuse ends the item without running it.
	Refuse
	// Preempt cancels the running item. Once that is done, the caller calls
	// Finished and enqueues the item again for its remaining work.
	Preempt
)

// Reason is the reason why an item was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonQueueFull means that the queue is full of items of the same or a
	// higher rank.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDisplaced means that an item of a higher rank took the item's place
	// in the full queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonTooLate means that the item was queued past its LatestStart.
	ReasonTooLate Reason = "too_late"
)

// Action is an instruction to the caller.
type Action struct {
	Kind ActionKind
	ID   uint64
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
	Reason     Reason
}

// Digest is the load of one instance at a pool, as sent to its peers. Its size
// is fixed.
type Digest struct {
	Ranks [MaxRanks]RankLoad
}

// RankLoad is the load of one rank, in requests.
type RankLoad struct {
	// InFlight is the number of dispatched requests.
	InFlight float32 `msgpack:"f"`
	// Demand is the moving average of dispatched and queued requests.
	Demand float32 `msgpack:"d"`
}

// PeerLoad is the sum of the peers' digests.
type PeerLoad struct {
	// Instances is the number of live instances, this one included.
	Instances int
	// Reporting is the number of peers whose digests are in the sum.
	Reporting int
	Ranks     [MaxRanks]RankLoad
}

// Stats holds the figures of a gate that are exported as metrics.
type Stats struct {
	Queued, InFlight [MaxRanks]int
	Capacity         int
	// TotalInFlight estimates the number of requests that all instances have in
	// flight.
	TotalInFlight float64
	// CompletionRate is the number of requests finished per second.
	CompletionRate float64
}

// RankIndex returns the position of a tier's rank among the ranks in force,
// which is the Rank of an Item. Tier records may use ranks such as 10, 20 and
// 30: used directly, all of them would exceed MaxRanks and be treated as one.
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
