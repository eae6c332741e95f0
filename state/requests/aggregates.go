package requests

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Key identifies what Counters are aggregated over.
type Key struct {
	Pipeline string
	// Stage is a stage's name, or empty for whole requests.
	Stage string
	Tier  string
	// Account is a client account, or empty for all accounts that have no
	// counters of their own.
	Account string
}

// Counters aggregates the attempts of a stage, or whole requests.
type Counters struct {
	// Count is the number of attempts or requests that ended.
	Count uint64
	// Attained is the number of attempts whose response was used, or of requests
	// answered within their deadline.
	Attained uint64
	// Elapsed is the total time from start to end.
	Elapsed time.Duration
	// Work is the total processing time of the targets.
	Work time.Duration
	// Wasted is the part of Work that did not lead to an answer within its
	// deadline: attempts that failed, were cancelled or whose response was not
	// used, and all attempts of a request that missed its deadline.
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

// maxTiers bounds the tiers that a stripe counts separately; the others are
// counted as OtherTier.
const maxTiers = 32

// OtherTier stands for the tiers that are not counted separately.
const OtherTier = "other"

// maxGroups bounds the counters without an account. Their keys come from records
// that operators write, so the bound is exceeded only if records are renamed
// constantly. Further keys are then counted as OtherPipeline.
const maxGroups = 4096

// OtherPipeline stands for the pipelines that are not listed separately.
const OtherPipeline = "other"

// aggregates holds counters by key. The number of counters with an account is
// bounded: when there are too many, the half with the smallest counts is added
// to the counters without an account, so totals stay exact and the busiest
// accounts stay separate. Dropping small counts periodically follows lossy
// counting (Manku and Motwani, VLDB 2002).
type aggregates struct {
	mu            sync.Mutex
	maxAccounts   int
	byAccount     map[Key]*Counters
	otherAccounts map[Key]*Counters
	// byTier counts since the process started; a drain does not reset it.
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

// attemptKey returns the key of the attempts of a stage.
func (r *record) attemptKey(stage int) Key {
	return Key{Pipeline: r.info.Pipeline, Stage: r.info.Stages[stage], Tier: r.info.Tier, Account: r.info.Account}
}

// chargedWork returns the processing time charged for an attempt. A target that
// reports none, for example because its response was lost, may have worked the
// whole time.
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
	// After the end of the request, a used response is wasted unless the request
	// met its deadline.
	missed := r.state != StateRunning && !r.attained()
	if a.Result != ResultOK || missed {
		c.Wasted = a.chargedWork()
	}
	return c
}

func (agg *aggregates) add(k Key, c Counters) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	agg.addLocked(k, c)
}

// addRequest adds a request that ended. If it was not answered within its
// deadline, the work of its used responses counts as wasted.
func (agg *aggregates) addRequest(r *record) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	whole := Counters{Count: 1, Elapsed: r.elapsed}
	if r.attained() {
		whole.Attained = 1
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.Result == ResultOK && !r.attained() {
			agg.addLocked(r.attemptKey(a.Stage), Counters{Wasted: a.chargedWork()})
		}
	}
	k := Key{Pipeline: r.info.Pipeline, Tier: r.info.Tier, Account: r.info.Account}
	agg.addLocked(k, whole)
	agg.addTier(r.info.Tier, whole)
}

func (agg *aggregates) addTier(tier string, c Counters) {
	own, ok := agg.byTier[tier]
	if !ok && len(agg.byTier) >= maxTiers {
		tier = OtherTier
		own = agg.byTier[tier]
	}
	own.Ended += c.Count
	own.Attained += c.Attained
	agg.byTier[tier] = own
}

func (agg *aggregates) addLocked(k Key, c Counters) {
	if k.Account == "" {
		agg.addOtherAccounts(k, c)
		return
	}
	sum, ok := agg.byAccount[k]
	if !ok {
		if len(agg.byAccount) >= agg.maxAccounts {
			agg.pruneAccounts()
		}
		sum = &Counters{}
		agg.byAccount[k] = sum
	}
	sum.Add(c)
}

func (agg *aggregates) addOtherAccounts(k Key, c Counters) {
	k.Account = ""
	sum, ok := agg.otherAccounts[k]
	if !ok {
		if len(agg.otherAccounts) >= maxGroups {
			k = Key{Pipeline: OtherPipeline}
		}
		sum = agg.otherAccounts[k]
	}
	if sum == nil {
		sum = &Counters{}
		agg.otherAccounts[k] = sum
	}
	sum.Add(c)
}

// pruneAccounts moves the half of the accounts with the smaller counts to
// otherAccounts. It costs one sort per maxAccounts/2 new keys.
func (agg *aggregates) pruneAccounts() {
	keys := slices.SortedFunc(maps.Keys(agg.byAccount), func(a, b Key) int {
		return compareByCount(a, b, agg.byAccount)
	})
	for _, k := range keys[len(keys)/2:] {
		agg.addOtherAccounts(k, *agg.byAccount[k])
		delete(agg.byAccount, k)
	}
}

// compareByCount orders keys by descending count, then by name.
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
