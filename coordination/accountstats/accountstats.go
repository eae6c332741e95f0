// Package accountstats counts what became of the requests of client accounts lately, so that
// operators see which accounts are refused or served late.
//
// Table is pure: time is an argument. It is not safe for concurrent use. Its size is bounded.
package accountstats

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of the counts. Whoever looks after a complaint sees its minute,
	// and an account that is gone disappears within a few.
	halfLife = 30 * time.Second
	// forgetTime is the time without a request after which an account isn't listed.
	forgetTime = 10 * halfLife
	// maxEntries limits the accounts that are kept, counted by service. Beyond it the one whose
	// latest request is the oldest is removed.
	maxEntries = 4096
	// maxReasons limits the reasons of refusals that an entry tells apart. The program has about
	// as many.
	maxReasons = 16
	// otherReasons is the key for reasons beyond maxReasons.
	otherReasons = "other"
)

// Outcome is what became of a request.
type Outcome struct {
	Service, Account string
	// Served is true if a target has responded. Refused is the reason of a refusal as not run.
	Served  bool
	Refused string
	// Late is true if the response came after the route's objective.
	Late bool
	// Waited is how long the request waited before it was sent, or refused.
	Waited time.Duration
}

// Row is what became of an account's requests at a service lately. The counts decay.
type Row struct {
	Service string `json:"service"`
	Account string `json:"account"`
	// Demand is in requests a second.
	Demand  float64            `json:"demand_per_s"`
	Served  float64            `json:"served"`
	Late    float64            `json:"late"`
	Refused map[string]float64 `json:"refused"`
	// Waited is the mean wait in seconds.
	Waited float64 `json:"waited_s"`
	// troubled is the number of requests refused or late.
	troubled float64
}

// Table holds the counts of all accounts.
type Table struct {
	entries map[key]*list.Element
	// recent has the entries, the one with the latest request at the front.
	recent *list.List
}

type key struct{ service, account string }

// entry has decaying sums.
type entry struct {
	key
	at                           time.Time
	requests, served, late, wait float64
	refused                      map[string]float64
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[key]*list.Element{}, recent: list.New()} }

// Record counts the end of a request.
func (t *Table) Record(now time.Time, o Outcome) {
	e := t.entry(now, key{o.Service, o.Account})
	e.decay(now)
	e.requests++
	e.wait += o.Waited.Seconds()
	if o.Served {
		e.served++
	}
	if o.Late {
		e.late++
	}
	if o.Refused != "" {
		if _, known := e.refused[o.Refused]; !known && len(e.refused) >= maxReasons-1 {
			o.Refused = otherReasons
		}
		e.refused[o.Refused]++
	}
}

func (t *Table) entry(now time.Time, k key) *entry {
	if known := t.entries[k]; known != nil {
		t.recent.MoveToFront(known)
		return known.Value.(*entry)
	}
	for last := t.recent.Back(); last != nil; last = t.recent.Back() {
		e := last.Value.(*entry)
		if len(t.entries) < maxEntries && now.Sub(e.at) < forgetTime {
			break
		}
		delete(t.entries, e.key)
		t.recent.Remove(last)
	}
	e := &entry{key: k, at: now, refused: map[string]float64{}}
	t.entries[k] = t.recent.PushFront(e)
	return e
}

func (e *entry) decay(now time.Time) {
	if !now.After(e.at) {
		return
	}
	f := math.Exp2(-now.Sub(e.at).Seconds() / halfLife.Seconds())
	e.at = now
	for _, sum := range []*float64{&e.requests, &e.served, &e.late, &e.wait} {
		*sum *= f
	}
	for reason := range e.refused {
		e.refused[reason] *= f
	}
}

// Worst returns the accounts with the most requests refused or late lately, at most as many as given.
func (t *Table) Worst(now time.Time, most int) []Row {
	var rows []Row
	for known := t.recent.Front(); known != nil; known = known.Next() {
		e := known.Value.(*entry)
		if now.Sub(e.at) >= forgetTime {
			break
		}
		if r := e.row(now); r.troubled > 0 {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.troubled, a.troubled) })
	return rows[:min(most, len(rows))]
}

func (e *entry) row(now time.Time) Row {
	f := math.Exp2(-max(now.Sub(e.at), 0).Seconds() / halfLife.Seconds())
	r := Row{
		Service: e.service, Account: e.account, Demand: e.requests * f * math.Ln2 / halfLife.Seconds(),
		Served: e.served * f, Late: e.late * f, Refused: map[string]float64{}, Waited: e.wait / e.requests, troubled: e.late * f,
	}
	for reason, n := range e.refused {
		r.Refused[reason] = n * f
		r.troubled += n * f
	}
	return r
}

// LargestShare returns the part of all requests lately that is of the account with the most; 0 if
// there were none.
func (t *Table) LargestShare(now time.Time) float64 {
	byAccount := map[string]float64{}
	total, largest := 0.0, 0.0
	for known := t.recent.Front(); known != nil; known = known.Next() {
		e := known.Value.(*entry)
		n := e.requests * math.Exp2(-max(now.Sub(e.at), 0).Seconds()/halfLife.Seconds())
		total += n
		byAccount[e.account] += n
		largest = max(largest, byAccount[e.account])
	}
	if total == 0 {
		return 0
	}
	return largest / total
}
