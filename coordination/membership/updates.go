package membership

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxQueuedUpdates bounds the updates waiting for gossip; a dropped update
	// reaches other members by the full exchange.
	maxQueuedUpdates = 1024
	// memberOverhead bounds the encoded bytes of a Member without its strings:
	// headers, the integers and the state.
	memberOverhead = 32
)

// EncodedSize returns an upper bound of the encoded bytes of a member.
func EncodedSize(m Member) int {
	return memberOverhead + len(m.Name) + len(m.Address) + len(m.CallerURL) + len(m.DataCentre)
}

// queuedUpdate is an update and the number of its transmissions.
type queuedUpdate struct {
	member        Member
	transmissions int
	order         uint64
}

// updateQueue holds the newest update of each member until it has been
// transmitted often enough.
type updateQueue struct {
	byName map[string]*queuedUpdate
	order  uint64
}

func newUpdateQueue() updateQueue {
	return updateQueue{byName: make(map[string]*queuedUpdate)}
}

// put queues an update, replacing an older one of the same member.
func (q *updateQueue) put(m Member) {
	q.order++
	q.byName[m.Name] = &queuedUpdate{member: m, order: q.order}
	if len(q.byName) > maxQueuedUpdates {
		sorted := q.sorted()
		q.remove(sorted[len(sorted)-1].member.Name)
	}
}

// remove deletes a member's update.
func (q *updateQueue) remove(name string) { delete(q.byName, name) }

// sorted returns the updates, the least transmitted first, then the newest.
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

// nextBatch returns the updates for one message, at most count of them and bytes in
// size, and counts their transmission. Limit is the number of transmissions of an
// update.
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

// countTransmission counts a transmission and removes the update after the last
// one.
func (q *updateQueue) countTransmission(u *queuedUpdate, limit int) {
	u.transmissions++
	if u.transmissions >= limit {
		q.remove(u.member.Name)
	}
}

// piggyback returns the updates for a message to a member. A leaving instance puts its
// departure first. If the receiver is not alive here or is disputed, that state comes
// next, since only the receiver can refute it.
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
	} else if deadClaim, ok := m.probes.disputed[to]; ok {
		out = append(out, deadClaim)
		count--
		bytes -= EncodedSize(deadClaim)
	}
	limit := int(math.Ceil(float64(m.cfg.RetransmitFactor) * math.Log2(float64(len(m.view.live)+1))))
	return append(out, m.updates.nextBatch(count, bytes, limit)...)
}
