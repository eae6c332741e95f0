package cost

import (
	"math"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// maxKinds bounds the distributions, of some 2 kB each. An installation has tens of routes and
	// accounts; the least recently used are forgotten beyond it.
	maxKinds = 4096
	// maxPools bounds the reading speeds.
	maxPools = 1024
	// minSamples is the number of observations from which on a distribution is used instead of a
	// more general one: with fewer, a rare long request may not have been seen.
	minSamples = 4
	// defaultRest is the expected time without the reading of the prompt while nothing was observed.
	defaultRest = 250 * time.Millisecond
	// defaultRead is the time to read a token, and minRead and maxRead its limits, in seconds.
	defaultRead      = 50e-6
	minRead, maxRead = 1e-6, 2e-3
	// minFixed is the least time to a first event apart from reading, in seconds.
	minFixed = 1e-3
	// readStep is the share by which an observation changes the predicted time.
	readStep = 0.03
)

// kind identifies a distribution. Account and hint may be empty for a more general one.
type kind struct {
	route, account string
	// hint is the class of the caller's estimate, by doublings; 0 without one.
	hint int
}

// kindState is what was observed of a kind.
type kindState struct {
	first, rest, output histogram
	summary             *distribution // of rest; nil if it has to be built again
	used                time.Time
}

// Model predicts costs. Its methods are safe for concurrent use.
type Model struct {
	mu    sync.Mutex
	kinds map[kind]*kindState
	reads map[string]reading // by pool
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{kinds: map[kind]*kindState{}, reads: map[string]reading{}}
}

// kindsOf returns the kinds of a request, the most specific one first.
func kindsOf(r *Request) []kind {
	hint := bits.Len(uint(max(r.Hint, 0)))
	list := []kind{{r.Route, r.Account, hint}, {r.Route, "", hint}, {r.Route, "", 0}}
	return slices.Compact(list)
}

// Estimate predicts what a request costs at an idle target.
func (m *Model) Estimate(now time.Time, r Request) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, s := m.estimate(now, r)
	if s != nil {
		s.used, s.summary = now, e.rest
	}
	return e
}

// Peek is Estimate for a request that won't be sent: its kind doesn't count as used.
func (m *Model) Peek(now time.Time, r Request) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, _ := m.estimate(now, r)
	return e
}

// estimate returns an estimate and the kind that it is based on; nil if it is based on none.
func (m *Model) estimate(now time.Time, r Request) (Estimate, *kindState) {
	var basis *kindState
	read := seconds(m.read(r.Pool) * float64(max(r.Uncached, 0)))
	e := Estimate{Read: read, FirstEvent: read + defaultRest, Median: read + defaultRest, Total: read + defaultRest, Output: float64(plausibleOutput(r))}
	for _, k := range kindsOf(&r) {
		s := m.kinds[k]
		if s == nil || s.rest.weight(now) < minSamples {
			continue
		}
		basis = s
		if e.rest = s.summary; e.rest == nil {
			e.rest = s.rest.distribution()
		}
		e.Total = read + seconds(s.rest.quantile(PlanningQuantile)*secondsUnit)
		e.Median = read + seconds(s.rest.quantile(0.5)*secondsUnit)
		e.FirstEvent = min(read+seconds(s.first.quantile(PlanningQuantile)*secondsUnit), e.Total)
		if s.output.weight(now) >= minSamples {
			e.Output = s.output.quantile(PlanningQuantile)
		}
		break
	}
	if r.MaxOutput > 0 {
		e.Output = min(e.Output, float64(r.MaxOutput))
	}
	e.Memory = float64(max(r.PromptTokens, r.Uncached)) + e.Output
	return e, basis
}

// plausibleOutput returns the output tokens by the request alone.
func plausibleOutput(r Request) int {
	if r.Hint > 0 {
		return r.Hint
	}
	return r.MaxOutput
}

// Observe learns from a first event or an end. A request is observed at each of them once; the
// observation of the end carries the time of the first event again.
func (m *Model) Observe(now time.Time, r Request, o Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Total <= 0 {
		m.learnRead(&r, &o)
		return
	}
	read := m.read(r.Pool) * float64(max(r.Uncached, 0))
	rest := max((o.idle(o.Total)-read)/secondsUnit, minValue)
	for _, k := range kindsOf(&r) {
		s := m.kind(now, k)
		s.rest.add(now, rest)
		s.summary = nil
		if o.FirstEvent > 0 {
			s.first.add(now, max((o.idle(o.FirstEvent)-read)/secondsUnit, minValue))
		}
		if o.Output > 0 {
			s.output.add(now, float64(o.Output))
		}
	}
}

// reading is the time to the first event at an idle target as far as it follows from the prompt.
type reading struct{ fixed, perToken float64 } // in seconds

// tokenScale is the length of a prompt, in tokens, whose error is split evenly between the two parts.
const tokenScale = 1000.0

// learnRead corrects the time to read a token by a first event. The step depends only on the sign
// of the error, so that a few first events that are late for other reasons don't matter.
func (m *Model) learnRead(r *Request, o *Observation) {
	if o.FirstEvent <= 0 || r.Uncached <= 0 {
		return
	}
	known, ok := m.reads[r.Pool]
	if !ok {
		known = reading{fixed: minFixed, perToken: defaultRead}
	}
	predicted := known.fixed + known.perToken*float64(r.Uncached)
	x := float64(r.Uncached) / tokenScale
	step := readStep * predicted / (1 + x*x)
	if o.idle(o.FirstEvent) < predicted {
		step = -step
	}
	if len(m.reads) >= maxPools && !ok {
		clear(m.reads)
	}
	m.reads[r.Pool] = reading{
		fixed:    max(known.fixed+step, minFixed),
		perToken: math.Min(math.Max(known.perToken+step*x/tokenScale, minRead), maxRead),
	}
}

// read returns the time to read a token, in seconds.
func (m *Model) read(pool string) float64 {
	if known, ok := m.reads[pool]; ok {
		return known.perToken
	}
	return defaultRead
}

// kind returns the state of a kind, and drops the least recently used ones beyond maxKinds.
func (m *Model) kind(now time.Time, k kind) *kindState {
	s := m.kinds[k]
	if s == nil {
		if len(m.kinds) >= maxKinds {
			m.dropOldest()
		}
		s = &kindState{}
		s.first.at, s.rest.at, s.output.at = now, now, now
		m.kinds[k] = s
	}
	s.used = now
	return s
}

// dropOldest drops an eighth of the kinds, so that it runs rarely.
func (m *Model) dropOldest() {
	keys := make([]kind, 0, len(m.kinds))
	for k := range m.kinds {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b kind) int { return m.kinds[a].used.Compare(m.kinds[b].used) })
	for _, k := range keys[:len(keys)/8] {
		delete(m.kinds, k)
	}
}
