package orders

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// Limits on the targets read in one reconciliation.
const (
	// maxRechecksPerPass bounds the targets read again that were complete when last
	// read. A read takes about 240 bytes, and an instance may send 2 KB of control
	// traffic per second, independently of the size of the pool.
	maxRechecksPerPass = 4
	// maxIncompletePerPass bounds the targets that need orders or weren't read yet.
	maxIncompletePerPass = 64
)

// observation is the result of the last read of a target.
type observation struct {
	// revision is the revision of the desired state with which it was compared.
	revision uint64
	// fencing is the fencing number under which the target was read. A new holder reads
	// every target again, because its predecessor may have sent orders in between.
	fencing uint64
	// missing holds the orders that the target needs.
	missing []targetapi.Order
	// pass is the number of the reconciliation in which it was read.
	pass uint64
}

// selectDue returns the members to read in this reconciliation: those not known to be
// complete and, in rotation, some of the others. In each of the two groups the targets that
// were read the longest ago come first.
func (c *Controller) selectDue(members []Member) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pass++
	number, _ := c.lease.Held(c.opts.Now())
	c.pruneObservations(members)
	var incomplete, rechecks []Member
	for _, m := range members {
		o, read := c.observations[m.Incarnation]
		if read && o.fencing == number && o.revision == c.desired.Revision && len(o.missing) == 0 {
			rechecks = append(rechecks, m)
		} else {
			incomplete = append(incomplete, m)
		}
	}
	byPass := func(a, b Member) int {
		return cmp.Compare(c.observations[a.Incarnation].pass, c.observations[b.Incarnation].pass)
	}
	slices.SortStableFunc(incomplete, byPass)
	slices.SortStableFunc(rechecks, byPass)
	return append(incomplete[:min(len(incomplete), maxIncompletePerPass)], rechecks[:min(len(rechecks), maxRechecksPerPass)]...)
}

// pruneObservations drops the observations of targets that are no longer members. The
// caller holds the lock.
func (c *Controller) pruneObservations(members []Member) {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Incarnation] = true
	}
	for incarnation := range c.observations {
		if !present[incarnation] {
			delete(c.observations, incarnation)
		}
	}
}

func (c *Controller) recordObservation(m Member, revision uint64, missing []targetapi.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number, _ := c.lease.Held(c.opts.Now())
	c.observations[m.Incarnation] = observation{revision: revision, fencing: number, missing: missing, pass: c.pass}
}

// recordReadFailure records that a target couldn't be read in this reconciliation. The
// target then counts as not known to be complete.
func (c *Controller) recordReadFailure(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations[m.Incarnation] = observation{pass: c.pass}
}
