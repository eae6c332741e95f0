package capacity

import (
	"crypto/sha256"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

func accountName(i int) string { return fmt.Sprintf("account-%05d", i) }

func accountRecord(i int, revision uint64) config.Record {
	key := config.Key{Kind: catalog.RecordAccounts, Name: accountName(i)}
	spec := fmt.Sprintf(`{"schema_version":1,"tier":"gold","keys":[{"sha256":"%x"}],"requests_per_s":%d,"burst":10}`,
		sha256.Sum256([]byte(key.Name)), 4+revision%2)
	return config.LiveRecord(key, revision, []byte(spec))
}

// newAccountSet returns a configuration set with n accounts in force.
func newAccountSet(n int) (*config.Set, error) {
	set := config.New(record.Decode)
	for _, kind := range config.Kinds {
		set.ApplyList(kind, nil, 0)
	}
	tier := config.LiveRecord(config.Key{Kind: catalog.RecordTiers, Name: "gold"}, 1,
		[]byte(`{"schema_version":1,"rank":0,"deadline_ms":6000,"engine_priority":0}`))
	batch := []config.Record{tier}
	for i := range n {
		batch = append(batch, accountRecord(i, uint64(10+i)))
	}
	_, snapshot, _ := set.Apply(batch)
	if inForce := snapshot.Accounts.Len(); inForce != n {
		return nil, errors.Newf("%d of %d accounts are in force", inForce, n)
	}
	return set, nil
}

// newRecordTable returns the gossip table with the records of n accounts, which
// an instance holds in addition to its configuration set.
func newRecordTable(n int) *spread.Table {
	table := spread.NewTable(maxTombstones)
	for i := range n {
		r := accountRecord(i, uint64(10+i))
		table.Apply(spread.Record{Kind: recordKind, Name: r.Name, Revision: r.Newest.Revision, Body: r.Newest.Spec})
	}
	return table
}

func measureAccounts(o Options) ([]Series, error) {
	series := func(quantity, unit string, budget float64) Series {
		return Series{Quantity: quantity, Unit: unit, SizeUnit: "account", DesignSize: designAccounts, Budget: budget}
	}
	memory := series("configuration set and snapshot", "MB", memoryBudget)
	table := series("records held by the spread", "MB", memoryBudget)
	apply := series("Apply of one changed account", "us", 0)
	lookup := series("finding an account by its key", "ns", 0)
	put := series("the spread takes one record", "us", 0)
	for _, n := range o.sizes(5, 1000, 8000, 32000) {
		if _, err := newAccountSet(n); err != nil {
			return nil, err
		}
		memory.add(n, heapSize(func() any { set, _ := newAccountSet(n); return set })/megabyte)
		table.add(n, heapSize(func() any { return newRecordTable(n) })/megabyte)
		set, _ := newAccountSet(n)
		records, revision := newRecordTable(n), uint64(1_000_000)
		apply.add(n, o.nsPerOp(func() {
			revision++
			set.Apply([]config.Record{accountRecord(int(revision)%n, revision)})
		})/1000)
		put.add(n, o.nsPerOp(func() {
			revision++
			records.Apply(spread.Record{Kind: recordKind, Name: accountName(int(revision) % n), Revision: revision})
		})/1000)
		snapshot, hash := set.Snapshot(), sha256.Sum256([]byte(accountName(n/2)))
		lookup.add(n, o.nsPerOp(func() { snapshot.AccountByKey(hash) }))
	}
	return []Series{memory, table, apply, put, lookup}, nil
}
