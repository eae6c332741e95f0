package catalog

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// accountShards is how many maps an account table is spread over. A change of
// one account copies one map of each index and no other.
const accountShardCount = 256

// AccountTable is an immutable set of accounts with two indexes, by name and
// by key hash. The zero value is empty. Change it through Edit.
type AccountTable struct {
	byName *[accountShardCount]map[string]*Account
	byKey  *[accountShardCount]map[[32]byte]*Account
	// rivals holds the accounts that name a key which another one holds.
	keyContenders map[[32]byte][]*Account
	count         int
}

// NewAccountTable builds a table. Of two accounts with one name the later wins.
func NewAccountTable(accounts ...*Account) AccountTable {
	editor := AccountTable{}.Edit()
	for _, a := range accounts {
		editor.Put(a)
	}
	return editor.Table()
}

// Len returns the number of accounts.
func (t AccountTable) Len() int { return t.count }

// Get finds an account by name.
func (t AccountTable) Get(name string) (*Account, bool) {
	if t.byName == nil {
		return nil, false
	}
	a, ok := t.byName[nameShard(name)][name]
	return a, ok
}

// ByKey finds the account that a caller key's SHA-256 digest belongs to.
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

// Edit starts a change; the table itself stays as it is.
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

// AccountEditor changes a copy of an account table. It copies each shard on
// its first change. It is for one goroutine, and spent once Table is called.
type AccountEditor struct {
	byName           *[accountShardCount]map[string]*Account
	byKey            *[accountShardCount]map[[32]byte]*Account
	keyContenders    map[[32]byte][]*Account
	copiedNameShards [accountShardCount]bool
	copiedKeyShards  [accountShardCount]bool
	count            int
}

// ByKey finds the account that a key belongs to at this point of the change.
func (e *AccountEditor) ByKey(hash [32]byte) (*Account, bool) {
	a, ok := e.byKey[keyShard(hash)][hash]
	return a, ok
}

// Put adds an account or replaces the one of its name. When two accounts name
// one key, it belongs to the one whose name sorts first: two instances that
// learned of the accounts in different orders must find the same one.
func (e *AccountEditor) Put(a *Account) {
	e.Delete(a.Name)
	e.writableNames(a.Name)[a.Name] = a
	for _, hash := range a.KeyHashes {
		e.addKey(hash, a)
	}
	e.count++
}

// Delete removes an account with its keys; a name that is absent is no fault.
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
	holder, taken := e.ByKey(hash)
	if !taken {
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

// promote gives a key to the first of its rivals.
func (e *AccountEditor) promoteContender(hash [32]byte) {
	rivals := e.keyContenders[hash]
	if len(rivals) == 0 {
		return
	}
	first := slices.MinFunc(rivals, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
	e.writableKeys(hash)[hash] = first
	e.setContenders(hash, without(rivals, first))
}

// setRivals replaces the rivals for a key. It copies the whole map, which is
// empty but for races of operators.
func (e *AccountEditor) setContenders(hash [32]byte, rivals []*Account) {
	e.keyContenders = cloneOrMake(e.keyContenders)
	e.keyContenders[hash] = rivals
	if len(rivals) == 0 {
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

func (e *AccountEditor) writableNames(name string) map[string]*Account {
	i := nameShard(name)
	if !e.copiedNameShards[i] {
		e.copiedNameShards[i] = true
		e.byName[i] = cloneOrMake(e.byName[i])
	}
	return e.byName[i]
}

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
