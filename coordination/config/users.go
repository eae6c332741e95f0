package config

import (
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// userCount counts the records in force that refer to a pool or a tier.
type userCount struct {
	pipelines int
	accounts  int
}

func (u *userCount) total() int { return u.pipelines + u.accounts }

// reason says who keeps a deleted record in force. It holds no numbers, so
// that the verdict doesn't change with every user that leaves.
func (u *userCount) reason() string {
	switch {
	case u.pipelines > 0 && u.accounts > 0:
		return "is still used by pipelines and accounts, and stays in force until they change"
	case u.pipelines > 0:
		return "is still used by pipelines, and stays in force until they change"
	}
	return "is still used by accounts, and stays in force until they change"
}

// keepsSpec tells the kinds whose deleted records linger for their users.
func retainedWhileUsed(kind catalog.RecordKind) bool {
	return kindBit(kind)&(kindPools|kindTiers) != 0
}

// shownItem computes what the snapshot must hold for an entry.
func (s *Set) effectiveItem(e *entry) catalog.Item {
	if !e.inForce.Deleted {
		return e.item
	}
	if users, ok := s.users[e.key]; ok && users.total() > 0 && retainedWhileUsed(e.key.Kind) {
		return e.item
	}
	return nil
}

// show brings the snapshot, and the counts of users, in line with an entry.
func (c *transaction) updateSnapshot(e *entry) {
	now := c.set.effectiveItem(e)
	before := e.inSnapshot
	if now == before {
		return
	}
	e.inSnapshot = now
	c.changedKinds |= kindBit(e.key.Kind)
	if before != nil {
		c.draft.remove(before)
	}
	if now != nil {
		c.draft.put(now)
	}
	c.countReferences(now, 1)
	c.countReferences(before, -1)
}

// count adds an item to the users of what it refers to, or takes it off.
func (c *transaction) countReferences(item catalog.Item, by int) {
	switch it := item.(type) {
	case *catalog.Account:
		c.countReference(Key{catalog.RecordTiers, it.Tier}, 0, by)
	case *catalog.Pipeline:
		for i := range it.Stages {
			c.countReference(Key{catalog.RecordPools, it.Stages[i].Pool}, by, 0)
		}
		for tier := range it.Deadlines {
			c.countReference(Key{catalog.RecordTiers, tier}, by, 0)
		}
	}
}

func (c *transaction) countReference(key Key, pipelines, accounts int) {
	users := c.set.users[key]
	if users == nil {
		users = &userCount{}
		c.set.users[key] = users
	}
	users.pipelines += pipelines
	users.accounts += accounts
	if users.total() == 0 {
		delete(c.set.users, key)
	}
	if e, ok := c.set.entries[key]; ok && e.inForce.Deleted {
		c.affected[key] = e
		c.updateSnapshot(e)
	}
}
