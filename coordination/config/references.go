package config

import (
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// userCount is the number of records in force that refer to a pool or a tier.
type userCount struct {
	pipelines int
	accounts  int
}

func (u *userCount) total() int { return u.pipelines + u.accounts }

// reason states which kinds of records keep a deleted record in force. It holds no
// numbers, so that the verdict doesn't change with every removed reference.
func (u *userCount) reason() string {
	switch {
	case u.pipelines > 0 && u.accounts > 0:
		return "is still used by pipelines and accounts, and stays in force until they change"
	case u.pipelines > 0:
		return "is still used by pipelines, and stays in force until they change"
	}
	return "is still used by accounts, and stays in force until they change"
}

// retainedWhileUsed reports whether deleted records of a kind stay in the snapshot
// while other records refer to them.
func retainedWhileUsed(kind catalog.RecordKind) bool {
	return kindBit(kind)&(kindPools|kindTiers) != 0
}

// effectiveItem returns the item that the snapshot must hold for an entry, or nil.
func (s *Set) effectiveItem(e *entry) catalog.Item {
	if !e.inForce.Deleted {
		return e.item
	}
	if users, ok := s.users[e.key]; ok && users.total() > 0 && retainedWhileUsed(e.key.Kind) {
		return e.item
	}
	return nil
}

// updateSnapshot updates the draft of the snapshot, and the user counts, to match
// an entry.
func (tx *transaction) updateSnapshot(e *entry) {
	now := tx.set.effectiveItem(e)
	before := e.inSnapshot
	if now == before {
		return
	}
	e.inSnapshot = now
	tx.changedKinds |= kindBit(e.key.Kind)
	if before != nil {
		tx.draft.remove(before)
	}
	if now != nil {
		tx.draft.put(now)
	}
	tx.countReferences(now, 1)
	tx.countReferences(before, -1)
}

// countReferences adds delta to the user counts of the records that an item refers
// to.
func (tx *transaction) countReferences(item catalog.Item, delta int) {
	switch it := item.(type) {
	case *catalog.Account:
		tx.countReference(Key{catalog.RecordTiers, it.Tier}, 0, delta)
	case *catalog.Pipeline:
		for i := range it.Stages {
			tx.countReference(Key{catalog.RecordPools, it.Stages[i].Pool}, delta, 0)
		}
		for tier := range it.Deadlines {
			tx.countReference(Key{catalog.RecordTiers, tier}, delta, 0)
		}
	}
}

func (tx *transaction) countReference(key Key, pipelines, accounts int) {
	users := tx.set.users[key]
	if users == nil {
		users = &userCount{}
		tx.set.users[key] = users
	}
	users.pipelines += pipelines
	users.accounts += accounts
	if users.total() == 0 {
		delete(tx.set.users, key)
	}
	if e, ok := tx.set.entries[key]; ok && e.inForce.Deleted {
		tx.affected[key] = e
		tx.updateSnapshot(e)
	}
}
