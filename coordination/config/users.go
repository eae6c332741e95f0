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
func keepsSpec(kind catalog.RecordKind) bool {
	return bit(kind)&(pools|tiers) != 0
}

// shownItem computes what the snapshot must hold for an entry.
func (s *Set) shownItem(e *entry) catalog.Item {
	if !e.inForce.Deleted {
		return e.item
	}
	if users, ok := s.users[e.key]; ok && users.total() > 0 && keepsSpec(e.key.Kind) {
		return e.item
	}
	return nil
}

// show brings the snapshot, and the counts of users, in line with an entry.
func (c *change) show(e *entry) {
	now := c.set.shownItem(e)
	before := e.shown
	if now == before {
		return
	}
	e.shown = now
	c.altered |= bit(e.key.Kind)
	if before != nil {
		c.draft.remove(before)
	}
	if now != nil {
		c.draft.put(now)
	}
	c.count(now, 1)
	c.count(before, -1)
}

// count adds an item to the users of what it refers to, or takes it off.
func (c *change) count(item catalog.Item, by int) {
	switch it := item.(type) {
	case *catalog.Account:
		c.countUser(Key{catalog.RecordTiers, it.Tier}, 0, by)
	case *catalog.Pipeline:
		for i := range it.Stages {
			c.countUser(Key{catalog.RecordPools, it.Stages[i].Pool}, by, 0)
		}
		for tier := range it.Deadlines {
			c.countUser(Key{catalog.RecordTiers, tier}, by, 0)
		}
	}
}

func (c *change) countUser(key Key, pipelines, accounts int) {
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
		c.review[key] = e
		c.show(e)
	}
}
