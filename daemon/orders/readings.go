package orders

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Bounds of the targets read back in one round.
const (
	// againPerRound bounds those that had all they should. Reading one back
	// takes some 240 bytes, and what an instance may send for control is 2 KB a
	// second, however many targets a pool has.
	maxRechecksPerPass = 4
	// lackingPerRound bounds those that lack something or weren't read yet.
	maxIncompletePerPass = 64
)

// reading is what was read of a target last.
type observation struct {
	// revision is that of the desired state it was compared with.
	revision uint64
	// fencing is the number under which it was read. A new holder reads every
	// target once more: its predecessor's orders may have come in between.
	fencing uint64
	missing []targetapi.Order
	// round is the one in which it was read.
	pass uint64
}

// due chooses the members to read back in a round: those not known to have what
// they should, and in turn some of the others.
func (k *Controller) selectDue(members []Member) []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass++
	number, _ := k.lease.Held(k.opts.Now())
	k.pruneObservations(members)
	var lacking, again []Member
	for _, m := range members {
		r, read := k.observations[m.Incarnation]
		if read && r.fencing == number && r.revision == k.desired.Revision && len(r.missing) == 0 {
			again = append(again, m)
		} else {
			lacking = append(lacking, m)
		}
	}
	byRound := func(a, b Member) int {
		return cmp.Compare(k.observations[a.Incarnation].pass, k.observations[b.Incarnation].pass)
	}
	slices.SortStableFunc(lacking, byRound)
	slices.SortStableFunc(again, byRound)
	return append(lacking[:min(len(lacking), maxIncompletePerPass)], again[:min(len(again), maxRechecksPerPass)]...)
}

// forgetOthers drops the readings of targets that are no members any more. It
// needs the lock.
func (k *Controller) pruneObservations(members []Member) {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Incarnation] = true
	}
	for incarnation := range k.observations {
		if !present[incarnation] {
			delete(k.observations, incarnation)
		}
	}
}

func (k *Controller) recordObservation(m Member, revision uint64, lacks []targetapi.Order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	number, _ := k.lease.Held(k.opts.Now())
	k.observations[m.Incarnation] = observation{revision: revision, fencing: number, missing: lacks, pass: k.pass}
}

// forgetReading notes that a target couldn't be read in this round.
func (k *Controller) recordReadFailure(m Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observations[m.Incarnation] = observation{pass: k.pass}
}
