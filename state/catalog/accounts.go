package catalog

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// accountShardCount is the number of maps in each index of an account table. A
// change of one account copies the maps that hold its name and its keys, and no
// others.
const accountShardCount = 256

// AccountTable is an immutable set of accounts with two indexes, by name and
// by key hash. The zero value is empty. Edit returns a changed copy.
type AccountTable struct {
	byName *[accountShardCount]map[string]*Account
	byKey  *[accountShardCount]map[[32]byte]*Account
	// keyContenders holds, by key hash, the accounts that list the key although
	// it belongs to another account.
	keyContenders map[[32]byte][]*Account
	count         int
}

// NewAccountTable returns a table of the accounts. Of two accounts with one name
// it keeps the later.
func NewAccountTable(accounts ...*Account) AccountTable {
	editor := AccountTable{}.Edit()
	for _, a := range accounts {
		editor.Put(a)
	}
	return editor.Table()
}

// Len returns the number of accounts.
func (t AccountTable) Len() int { return t.count }

// Get returns an account by name.
func (t AccountTable) Get(name string) (*Account, bool) {
	if t.byName == nil {
		return nil, false
	}
	a, ok := t.byName[nameShard(name)][name]
	return a, ok
}

// ByKey returns the account of the caller key with the given SHA-256 digest.
func (t AccountTable) ByKey(hash [32]byte) (*Account, bool) {
	if t.byKey == nil {
		return nil, false
	}
	a, ok := t.byKey[keyShard(hash)][hash]
	return a, ok
}

// All yields the accounts in no particular order.
func (t AccountTable) All() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		if t.byName == nil {
			return
		}
		for _, shard := range t.byName {
			for _, a := range shard {
				if !yield(a) {
					return
				}
			}
		}
	}
}

// Edit returns an editor for a copy of the table; the table itself never
// changes.
func (t AccountTable) Edit() *AccountEditor {
	e := &AccountEditor{
		byName:        new([accountShardCount]map[string]*Account),
		byKey:         new([accountShardCount]map[[32]byte]*Account),
		keyContenders: t.keyContenders,
		count:         t.count,
	}
	if t.byName != nil {
		*e.byName = *t.byName
		*e.byKey = *t.byKey
	}
	return e
}

// AccountEditor changes a copy of an account table. It copies each shard on its
// first change. It is not safe for concurrent use and must not be used after
// Table.
type AccountEditor struct {
	byName           *[accountShardCount]map[string]*Account
	byKey            *[accountShardCount]map[[32]byte]*Account
	keyContenders    map[[32]byte][]*Account
	copiedNameShards [accountShardCount]bool
	copiedKeyShards  [accountShardCount]bool
	count            int
}

// ByKey returns the account that a key belongs to after the changes so far.
func (e *AccountEditor) ByKey(hash [32]byte) (*Account, bool) {
	a, ok := e.byKey[keyShard(hash)][hash]
	return a, ok
}

// Put adds an account or replaces the one with its name. If several accounts list
// one key, it belongs to the one whose name sorts first, so that instances that
// received the accounts in different orders agree.
func (e *AccountEditor) Put(a *Account) {
	e.Delete(a.Name)
	e.writableNames(a.Name)[a.Name] = a
	for _, hash := range a.KeyHashes {
		e.addKey(hash, a)
	}
	e.count++
}

// Delete removes an account and its keys. It ignores an unknown name.
func (e *AccountEditor) Delete(name string) {
	old, ok := e.byName[nameShard(name)][name]
	if !ok {
		return
	}
	delete(e.writableNames(name), name)
	for _, hash := range old.KeyHashes {
		e.removeKey(hash, old)
	}
	e.count--
}

func (e *AccountEditor) addKey(hash [32]byte, a *Account) {
	holder, ok := e.ByKey(hash)
	if !ok {
		e.writableKeys(hash)[hash] = a
		return
	}
	e.setContenders(hash, append(slices.Clone(e.keyContenders[hash]), holder, a))
	e.promoteContender(hash)
}

func (e *AccountEditor) removeKey(hash [32]byte, a *Account) {
	holder, _ := e.ByKey(hash)
	if holder == a {
		delete(e.writableKeys(hash), hash)
		e.promoteContender(hash)
		return
	}
	e.setContenders(hash, without(e.keyContenders[hash], a))
}

// promoteContender assigns a key to the contender whose name sorts first.
func (e *AccountEditor) promoteContender(hash [32]byte) {
	contenders := e.keyContenders[hash]
	if len(contenders) == 0 {
		return
	}
	first := slices.MinFunc(contenders, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
	e.writableKeys(hash)[hash] = first
	e.setContenders(hash, without(contenders, first))
}

// setContenders replaces the contenders for a key. It copies the whole map, which
// is empty unless operators concurrently gave one key to several accounts.
func (e *AccountEditor) setContenders(hash [32]byte, contenders []*Account) {
	e.keyContenders = cloneOrMake(e.keyContenders)
	e.keyContenders[hash] = contenders
	if len(contenders) == 0 {
		delete(e.keyContenders, hash)
	}
}

func without(accounts []*Account, a *Account) []*Account {
	return slices.DeleteFunc(slices.Clone(accounts), func(b *Account) bool { return a == b })
}

// Table returns the changed table.
func (e *AccountEditor) Table() AccountTable {
	return AccountTable{byName: e.byName, byKey: e.byKey, keyContenders: e.keyContenders, count: e.count}
}

// writableNames returns the shard of byName for a name, copied if it is still
// shared with the original table.
func (e *AccountEditor) writableNames(name string) map[string]*Account {
	i := nameShard(name)
	if !e.copiedNameShards[i] {
		e.copiedNameShards[i] = true
		e.byName[i] = cloneOrMake(e.byName[i])
	}
	return e.byName[i]
}

// writableKeys returns the shard of byKey for a key hash, copied if it is still
// shared with the original table.
func (e *AccountEditor) writableKeys(hash [32]byte) map[[32]byte]*Account {
	i := keyShard(hash)
	if !e.copiedKeyShards[i] {
		e.copiedKeyShards[i] = true
		e.byKey[i] = cloneOrMake(e.byKey[i])
	}
	return e.byKey[i]
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func nameShard(name string) int { return int(xxhash.Sum64String(name) % accountShardCount) }

func keyShard(hash [32]byte) int { return int(hash[0]) }
