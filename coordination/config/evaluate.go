package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// evaluate checks the newest version of a record against the configuration in
// force, and puts it in force if there is no conflict.
func (tx *transaction) evaluate(e *entry) {
	s := tx.set
	if e.newest.Revision <= e.inForce.Revision {
		return
	}
	tx.affected[e.key] = e
	s.removeWaiting(e)
	if e.candidate == nil {
		item, err := s.decode(e.key.Kind, e.key.Name, e.newest.Revision, e.newest.Spec)
		if err != nil {
			e.reason = err.Error()
			return
		}
		e.candidate = item
	}
	findings := tx.check(e.candidate)
	if len(findings.reasons) > 0 {
		e.reason = strings.Join(findings.reasons, "; ")
		s.addWaiting(e, findings.waitsFor)
		return
	}
	tx.putInForce(e, e.newest, e.candidate)
}

// findings are the reasons to refuse a candidate, and the kinds of records that can
// remove these reasons by a change.
type findings struct {
	reasons  []string
	waitsFor kindSet
}

func (f *findings) add(waits kindSet, format string, args ...any) {
	f.reasons = append(f.reasons, fmt.Sprintf(format, args...))
	f.waitsFor |= waits
}

func (tx *transaction) check(item catalog.Item) findings {
	var f findings
	switch it := item.(type) {
	case *catalog.Tier:
		tx.checkTier(&f, it)
	case *catalog.Pipeline:
		tx.checkPipeline(&f, it)
	case *catalog.Account:
		tx.checkAccount(&f, it)
	}
	return f
}

func (tx *transaction) checkTier(f *findings, t *catalog.Tier) {
	for _, p := range sortedPipelines(tx.draft.next.Pipelines) {
		tx.checkDeadline(f, kindPipelines, p, t)
	}
}

func (tx *transaction) checkPipeline(f *findings, p *catalog.Pipeline) {
	for i := range p.Stages {
		stage := &p.Stages[i]
		if reason := tx.referenceProblem(Key{catalog.RecordPools, stage.Pool}); reason != "" {
			f.add(kindPools, "stage %s: pool %s %s", stage.Name, stage.Pool, reason)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Deadlines)) {
		if reason := tx.referenceProblem(Key{catalog.RecordTiers, name}); reason != "" {
			f.add(kindTiers, "deadlines_ms: tier %s %s", name, reason)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tx.draft.next.Tiers)) {
		tx.checkDeadline(f, kindTiers, p, tx.draft.next.Tiers[name])
	}
}

// checkDeadline refuses a deadline that a pipeline misses even if every stage takes
// only its expected time.
func (tx *transaction) checkDeadline(f *findings, waits kindSet, p *catalog.Pipeline, t *catalog.Tier) {
	deadline, needed := tx.draft.next.DeadlineFor(p, t), p.CriticalPath()
	if deadline < needed {
		f.add(waits, "the deadline of tier %s, %d ms, is less than the %d ms that the stages of pipeline %s, schema version %d, are expected to take",
			t.Name, deadline.Milliseconds(), needed.Milliseconds(), p.Key.Name, p.Key.SchemaVersion)
	}
}

func (tx *transaction) checkAccount(f *findings, a *catalog.Account) {
	if reason := tx.referenceProblem(Key{catalog.RecordTiers, a.Tier}); reason != "" {
		f.add(kindTiers, "tier: tier %s %s", a.Tier, reason)
	}
	for i, hash := range a.KeyHashes {
		owner, ok := tx.draft.accounts.ByKey(hash)
		if ok && owner.Name != a.Name {
			f.add(kindAccounts, "keys[%d]: the key belongs to account %s already", i, owner.Name)
		}
	}
}

// referenceProblem returns why a record can't be referred to, or "" if it can. A
// deleted record that is retained for its current references accepts no new ones.
func (tx *transaction) referenceProblem(key Key) string {
	e, ok := tx.set.entries[key]
	switch {
	case !ok || e.inSnapshot == nil:
		return "does not exist or is not accepted"
	case e.inForce.Deleted:
		return "is deleted"
	}
	return ""
}

// verdictOf computes the current verdict on an entry.
func (s *Set) verdictOf(e *entry) verdict {
	v := verdict{evaluated: true, accepted: true, spec: e.newest.Spec}
	switch {
	case e.newest.Deleted && e.inSnapshot != nil:
		v.accepted, v.reason = false, s.users[e.key].reason()
	case e.newest.Revision > e.inForce.Revision:
		v.evaluated = s.Complete()
		v.accepted, v.reason = false, e.reason
	}
	return v
}

func (s *Set) addWaiting(e *entry, waits kindSet) {
	e.waitsFor = waits
	for _, kind := range Kinds {
		if waits&kindBit(kind) != 0 {
			s.waiting[kindBit(kind)][e.key] = e
		}
	}
}

func (s *Set) removeWaiting(e *entry) {
	for _, kind := range Kinds {
		if e.waitsFor&kindBit(kind) != 0 {
			delete(s.waiting[kindBit(kind)], e.key)
		}
	}
	e.waitsFor = 0
}

func (s *Set) decodeOrNil(key Key, v Version) catalog.Item {
	if v.SpecRevision == 0 {
		return nil
	}
	item, err := s.decode(key.Kind, key.Name, v.SpecRevision, v.Spec)
	if err != nil {
		return nil
	}
	return item
}

func sortedPipelines(byKey map[catalog.PipelineKey]*catalog.Pipeline) []*catalog.Pipeline {
	return slices.SortedFunc(maps.Values(byKey), func(a, b *catalog.Pipeline) int {
		if a.Key.Name != b.Key.Name {
			return strings.Compare(a.Key.Name, b.Key.Name)
		}
		return a.Key.SchemaVersion - b.Key.SchemaVersion
	})
}
