package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxQueuedUpdates bounds the updates that wait to be passed on; what is
	// dropped reaches others by the full exchange.
	maxQueuedUpdates = 1024
	// memberOverhead bounds the encoded bytes of a Member besides its texts:
	// headers, two integers and the state.
	memberOverhead = 32
)

// EncodedSize bounds the bytes of a member on the wire.
func EncodedSize(m Member) int {
	return memberOverhead + len(m.Name) + len(m.Address) + len(m.CallerURL) + len(m.DataCentre)
}

// queuedUpdate is an update and how often it was passed on.
type queuedUpdate struct {
	member        Member
	transmissions int
	order         uint64
}

// updateQueue holds the newest update of each member until it was passed on
// often enough.
type updateQueue struct {
	byName map[string]*queuedUpdate
	order  uint64
}

func newUpdateQueue() updateQueue {
	return updateQueue{byName: make(map[string]*queuedUpdate)}
}

// put queues an update and replaces an older one of the same member.
func (q *updateQueue) put(m Member) {
	q.order++
	q.byName[m.Name] = &queuedUpdate{member: m, order: q.order}
	if len(q.byName) > maxQueuedUpdates {
		sorted := q.sorted()
		q.remove(sorted[len(sorted)-1].member.Name)
	}
}

// drop removes a member's update.
func (q *updateQueue) remove(name string) { delete(q.byName, name) }

// sorted returns the updates, the least often sent first, then the newest.
func (q *updateQueue) sorted() []*queuedUpdate {
	list := make([]*queuedUpdate, 0, len(q.byName))
	for _, u := range q.byName {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.order, a.order))
	})
	return list
}

// take returns the updates for one message within its bounds.
func (q *updateQueue) nextBatch(count, bytes, limit int) []Member {
	if len(q.byName) == 0 {
		return nil
	}
	var out []Member
	for _, u := range q.sorted() {
		if len(out) == count {
			break
		}
		if size := EncodedSize(u.member); size <= bytes {
			bytes -= size
			out = append(out, u.member)
			q.countTransmission(u, limit)
		}
	}
	return out
}

// sentOnce counts a transmission and drops the update after the last.
func (q *updateQueue) countTransmission(u *queuedUpdate, limit int) {
	u.transmissions++
	if u.transmissions >= limit {
		q.remove(u.member.Name)
	}
}

// piggyback returns the updates for a message to a member. One that leaves says so
// first. If the receiver is not alive here, it is told so next: only it can refute it.
func (m *Membership) piggyback(to string) []Member {
	count, bytes := m.cfg.MaxUpdates, m.cfg.MaxUpdateBytes
	var out []Member
	if m.leaving {
		out = append(out, m.self)
		count--
		bytes -= EncodedSize(m.self)
	}
	if e := m.table[to]; e != nil && e.State != Alive {
		out = append(out, e.Member)
		count--
		bytes -= EncodedSize(e.Member)
	} else if doubt, ok := m.probes.disputed[to]; ok {
		out = append(out, doubt)
		count--
		bytes -= EncodedSize(doubt)
	}
	limit := int(math.Ceil(float64(m.cfg.RetransmitFactor) * math.Log2(float64(len(m.view.live)+1))))
	return append(out, m.updates.nextBatch(count, bytes, limit)...)
}
