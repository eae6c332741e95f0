package streams

import (
	"slices"
	"sync"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
)

const (
	// copies is the number of other instances that keep the record of a stream whose service has several versions.
	copies = 3
	// backupCopies is the number of other instances that keep the records of an instance's streams while their
	// services have one version.
	backupCopies = 2
	// maxAsked limits the instances that are asked for a record while a service has several versions.
	// It is larger than copies, since the instances that have it may have lost their rank to others.
	maxAsked = 12
)

// keeperID identifies one run of an instance that keeps records.
type keeperID struct {
	name        string
	incarnation uint64
}

func newKeeperID(m membership.Member) keeperID { return keeperID{m.Name, m.Incarnation} }

// keepers are the other instances that keep records, as of one view. They are determined when they are needed.
type keepers struct {
	mu   sync.Mutex
	view *membership.View
	// byKey are the first owners of each key.
	byKey [resumption.KeyCount][]membership.Member
	// backups are those that keep the records of this instance's streams.
	backups []membership.Member
	// silent are those that haven't answered the latest message.
	silent map[keeperID]struct{}
}

// ofKey returns the other instances that keep the record of a stream, the first n.
func (k *keepers) ofKey(view *membership.View, id resumption.Hash, n int) []membership.Member {
	key, number := id.Key()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setView(view)
	if k.byKey[number] == nil {
		k.byKey[number] = otherOwners(view, key, maxAsked)
	}
	owners := k.byKey[number]
	return owners[:min(len(owners), n)]
}

// ofSelf returns the other instances that keep the records of all streams of this instance. They are the same for
// all, so that these go in few messages.
func (k *keepers) ofSelf(view *membership.View) []membership.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setView(view)
	if k.backups == nil {
		k.backups = otherOwners(view, "streams-of/"+view.Self, backupCopies)
	}
	return k.backups
}

// setView forgets what was determined for another view. mu must be held.
func (k *keepers) setView(view *membership.View) {
	if view != k.view {
		k.view, k.byKey, k.backups = view, [resumption.KeyCount][]membership.Member{}, nil
		k.silent = map[keeperID]struct{}{}
	}
}

// noteAnswer records whether an instance has answered. It reports whether it hasn't for the first time in a row.
func (k *keepers) noteAnswer(m membership.Member, answered bool) (firstMissed bool) {
	id := newKeeperID(m)
	k.mu.Lock()
	defer k.mu.Unlock()
	_, missed := k.silent[id]
	if answered {
		delete(k.silent, id)
		return false
	}
	k.silent[id] = struct{}{}
	return !missed
}

// otherOwners returns the first n owners of a key that are not this instance.
func otherOwners(view *membership.View, key string, n int) []membership.Member {
	owners := membership.Owners(view, key, n+1)
	owners = slices.DeleteFunc(owners, func(m membership.Member) bool { return m.Name == view.Self })
	return owners[:min(len(owners), n)]
}
