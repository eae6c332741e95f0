package requests

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Key says what a sum is over.
type Key struct {
	Pipeline string
	// Stage is a stage's name, or empty for whole requests.
	Stage string
	Tier  string
	// Account is a client account, or empty for all that are not listed apart.
	Account string
}

// Counters sums up attempts of a stage, or whole requests.
type Counters struct {
	// Count is the number of attempts or requests that ended.
	Count uint64
	// Attained is the number of attempts whose answer was used, or of requests
	// answered within their deadline.
	Attained uint64
	// Elapsed is the time from start to end, summed.
	Elapsed time.Duration
	// Work is the targets' own time, summed.
	Work time.Duration
	// Wasted is the work that served no answer in time: attempts that failed,
	// lost or were cancelled, and all of a request past its deadline.
	Wasted        time.Duration
	Tokens        uint64
	PrefillTokens uint64
}

// Add adds the other counters.
func (c *Counters) Add(o Counters) {
	c.Count += o.Count
	c.Attained += o.Attained
	c.Elapsed += o.Elapsed
	c.Work += o.Work
	c.Wasted += o.Wasted
	c.Tokens += o.Tokens
	c.PrefillTokens += o.PrefillTokens
}

// Attainment counts requests that ended.
type Attainment struct {
	Ended, Attained uint64
}

// maxTiers bounds the tiers that a stripe counts apart; OtherTier takes the rest.
const maxTiers = 32

// OtherTier stands for tiers that are not counted apart.
const OtherTier = "other"

// maxGroups bounds the sums without an account. Their keys come from records
// that operators write; past the bound, which only endless renaming reaches,
// OtherPipeline takes the rest.
const maxGroups = 4096

// OtherPipeline stands for pipelines that are not listed apart.
const OtherPipeline = "other"

// digests sums up by key. The sums of accounts are bounded: when they are too
// many, the half with the smallest counts goes into its groups' rest, so totals
// stay exact while the busiest accounts stay apart. Dropping small counts at
// intervals follows lossy counting (Manku and Motwani, VLDB 2002).
type aggregates struct {
	mu            sync.Mutex
	maxAccounts   int
	byAccount     map[Key]*Counters
	otherAccounts map[Key]*Counters
	// tiers counts since the start; a drain leaves it.
	byTier map[string]Attainment
}

func newAggregates(maxAccounts int) *aggregates {
	return &aggregates{
		maxAccounts:   maxAccounts,
		byAccount:     map[Key]*Counters{},
		otherAccounts: map[Key]*Counters{},
		byTier:        map[string]Attainment{},
	}
}

// key is the key of a stage's attempts.
func (r *record) attemptKey(stage int) Key {
	return Key{Pipeline: r.info.Pipeline, Stage: r.info.Stages[stage], Tier: r.info.Tier, Account: r.info.Account}
}

// cost is the work of an attempt. A target that reports none, for instance
// because its answer was lost, may have worked all the time.
func (a *Attempt) chargedWork() time.Duration {
	if a.Work > 0 || a.Result == ResultNotRun {
		return a.Work
	}
	return a.Elapsed
}

func (r *record) attained() bool {
	return r.state == StateAnswered && r.elapsed <= r.info.Deadline
}

func attemptCounters(a *Attempt, r *record) Counters {
	c := Counters{
		Count:         1,
		Elapsed:       a.Elapsed,
		Work:          a.chargedWork(),
		Tokens:        uint64(max(a.Tokens, 0)),
		PrefillTokens: uint64(max(a.PrefillTokens, 0)),
	}
	if a.Result == ResultOK {
		c.Attained = 1
	}
	// Once the request has ended, an answer serves only if that was in time.
	useless := r.state != StateRunning && !r.attained()
	if a.Result != ResultOK || useless {
		c.Wasted = a.chargedWork()
	}
	return c
}

func (d *aggregates) add(k Key, c Counters) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addLocked(k, c)
}

// addRequest adds a request that ended, and counts the work of its used
// answers as wasted if it wasn't answered in time.
func (d *aggregates) addRequest(r *record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	whole := Counters{Count: 1, Elapsed: r.elapsed}
	if r.attained() {
		whole.Attained = 1
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.Result == ResultOK && !r.attained() {
			d.addLocked(r.attemptKey(a.Stage), Counters{Wasted: a.chargedWork()})
		}
	}
	k := Key{Pipeline: r.info.Pipeline, Tier: r.info.Tier, Account: r.info.Account}
	d.addLocked(k, whole)
	d.addTier(r.info.Tier, whole)
}

func (d *aggregates) addTier(tier string, c Counters) {
	own, ok := d.byTier[tier]
	if !ok && len(d.byTier) >= maxTiers {
		tier = OtherTier
		own = d.byTier[tier]
	}
	own.Ended += c.Count
	own.Attained += c.Attained
	d.byTier[tier] = own
}

func (d *aggregates) addLocked(k Key, c Counters) {
	if k.Account == "" {
		d.addOtherAccounts(k, c)
		return
	}
	sum, ok := d.byAccount[k]
	if !ok {
		if len(d.byAccount) >= d.maxAccounts {
			d.pruneAccounts()
		}
		sum = &Counters{}
		d.byAccount[k] = sum
	}
	sum.Add(c)
}

func (d *aggregates) addOtherAccounts(k Key, c Counters) {
	k.Account = ""
	sum, ok := d.otherAccounts[k]
	if !ok {
		if len(d.otherAccounts) >= maxGroups {
			k = Key{Pipeline: OtherPipeline}
		}
		sum = d.otherAccounts[k]
	}
	if sum == nil {
		sum = &Counters{}
		d.otherAccounts[k] = sum
	}
	sum.Add(c)
}

// prune moves the smaller half of the accounts' sums into the rest. It costs a
// sort, once for half of maxAccounts new keys.
func (d *aggregates) pruneAccounts() {
	keys := slices.SortedFunc(maps.Keys(d.byAccount), func(a, b Key) int {
		return compareByCount(a, b, d.byAccount)
	})
	for _, k := range keys[len(keys)/2:] {
		d.addOtherAccounts(k, *d.byAccount[k])
		delete(d.byAccount, k)
	}
}

// byCount orders keys by falling count, and by name where counts are equal.
func compareByCount(a, b Key, sums map[Key]*Counters) int {
	return cmp.Or(cmp.Compare(sums[b].Count, sums[a].Count), compareKeys(a, b))
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Pipeline, b.Pipeline),
		cmp.Compare(a.Stage, b.Stage),
		cmp.Compare(a.Tier, b.Tier),
		cmp.Compare(a.Account, b.Account),
	)
}
