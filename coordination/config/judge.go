package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// judge checks the newest version of a record against what is in force, and
// puts it in force when it fits.
func (c *transaction) evaluate(e *entry) {
	s := c.set
	if e.newest.Revision <= e.inForce.Revision {
		return
	}
	c.affected[e.key] = e
	s.removeWaiting(e)
	if e.candidate == nil {
		item, err := s.decode(e.key.Kind, e.key.Name, e.newest.Revision, e.newest.Spec)
		if err != nil {
			e.reason = err.Error()
			return
		}
		e.candidate = item
	}
	findings := c.check(e.candidate)
	if len(findings.reasons) > 0 {
		e.reason = strings.Join(findings.reasons, "; ")
		s.addWaiting(e, findings.waitsFor)
		return
	}
	c.putInForce(e, e.newest, e.candidate)
}

// findings are what speaks against a candidate, and the kinds whose change may
// alter that.
type findings struct {
	reasons  []string
	waitsFor kindSet
}

func (f *findings) add(waits kindSet, format string, args ...any) {
	f.reasons = append(f.reasons, fmt.Sprintf(format, args...))
	f.waitsFor |= waits
}

func (c *transaction) check(item catalog.Item) findings {
	var f findings
	switch it := item.(type) {
	case *catalog.Tier:
		c.checkTier(&f, it)
	case *catalog.Pipeline:
		c.checkPipeline(&f, it)
	case *catalog.Account:
		c.checkAccount(&f, it)
	}
	return f
}

func (c *transaction) checkTier(f *findings, t *catalog.Tier) {
	for _, p := range sortedPipelines(c.draft.next.Pipelines) {
		c.checkDeadline(f, kindPipelines, p, t)
	}
}

func (c *transaction) checkPipeline(f *findings, p *catalog.Pipeline) {
	for i := range p.Stages {
		stage := &p.Stages[i]
		if reason := c.referenceProblem(Key{catalog.RecordPools, stage.Pool}); reason != "" {
			f.add(kindPools, "stage %s: pool %s %s", stage.Name, stage.Pool, reason)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Deadlines)) {
		if reason := c.referenceProblem(Key{catalog.RecordTiers, name}); reason != "" {
			f.add(kindTiers, "deadlines_ms: tier %s %s", name, reason)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.draft.next.Tiers)) {
		c.checkDeadline(f, kindTiers, p, c.draft.next.Tiers[name])
	}
}

// checkDeadline refuses a deadline in which a pipeline can't answer even when
// every stage takes just its expected time.
func (c *transaction) checkDeadline(f *findings, waits kindSet, p *catalog.Pipeline, t *catalog.Tier) {
	deadline, needed := c.draft.next.DeadlineFor(p, t), p.CriticalPath()
	if deadline < needed {
		f.add(waits, "the deadline of tier %s, %d ms, is less than the %d ms that the stages of pipeline %s, schema version %d, are expected to take",
			t.Name, deadline.Milliseconds(), needed.Milliseconds(), p.Key.Name, p.Key.SchemaVersion)
	}
}

func (c *transaction) checkAccount(f *findings, a *catalog.Account) {
	if reason := c.referenceProblem(Key{catalog.RecordTiers, a.Tier}); reason != "" {
		f.add(kindTiers, "tier: tier %s %s", a.Tier, reason)
	}
	for i, hash := range a.KeyHashes {
		owner, ok := c.draft.accounts.ByKey(hash)
		if ok && owner.Name != a.Name {
			f.add(kindAccounts, "keys[%d]: the key belongs to account %s already", i, owner.Name)
		}
	}
}

// missing tells why a record can't be referred to, or nothing. A deleted one
// that lingers for its present users takes no new ones.
func (c *transaction) referenceProblem(key Key) string {
	e, ok := c.set.entries[key]
	switch {
	case !ok || e.inSnapshot == nil:
		return "does not exist or is not accepted"
	case e.inForce.Deleted:
		return "is deleted"
	}
	return ""
}

// verdictOf computes the present judgement of an entry.
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
