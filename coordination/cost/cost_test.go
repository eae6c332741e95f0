package cost

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// observeMix observes requests of which 15 in 100 take 1.6 s and the others 40 ms. A share of the
// estimates is that of the other sort.
func observeMix(m *Model, n int, hinted bool, wrong float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		heavy := rng.Float64() < 0.15
		r, o := Request{Pool: "p", Route: "r", Account: "a"}, Observation{Total: 40 * time.Millisecond, Output: 4}
		if heavy {
			o = Observation{Total: 1600 * time.Millisecond, Output: 160}
		}
		if hinted {
			r.Hint = 4
			if heavy != (rng.Float64() < wrong) {
				r.Hint = 160
			}
		}
		m.Observe(start.Add(time.Duration(i)*20*time.Millisecond), r, o)
	}
}

// Fails if a request that is past the short durations is still expected to end at once: work that
// takes long would be placed behind other work that takes long.
func TestRemainingGrowsWithAge(t *testing.T) {
	m := NewModel()
	observeMix(m, 500, false, 0)
	e := m.Estimate(start.Add(10*time.Second), Request{Pool: "p", Route: "r", Account: "a"})
	assert.InDelta(t, 0.274, e.Mean().Seconds(), 0.05)
	assert.InDelta(t, 1.5, e.Remaining(100*time.Millisecond).Seconds(), 0.1)
	assert.InDelta(t, 0.6, e.Remaining(time.Second).Seconds(), 0.1)
	assert.GreaterOrEqual(t, e.Remaining(4*time.Second), 4*time.Second, "longer than anything observed")
}

// Fails if the caller's estimate is believed or ignored instead of corrected by what was observed.
func TestHintsAreCorrected(t *testing.T) {
	for _, wrong := range []float64{0, 0.1, 1} {
		m := NewModel()
		observeMix(m, 500, true, wrong)
		now := start.Add(10 * time.Second)
		small := m.Estimate(now, Request{Pool: "p", Route: "r", Account: "a", Hint: 4})
		large := m.Estimate(now, Request{Pool: "p", Route: "r", Account: "a", Hint: 160})
		if wrong == 1 {
			small, large = large, small
		}
		assert.Less(t, small.Mean(), 120*time.Millisecond, "wrong %v", wrong)
		assert.Greater(t, large.Mean(), 600*time.Millisecond, "wrong %v", wrong)
		assert.Greater(t, small.Remaining(200*time.Millisecond), time.Duration(0))
	}
}

// Fails if an account without observations isn't predicted by others of its route.
func TestNewAccountUsesItsRoute(t *testing.T) {
	m := NewModel()
	observeMix(m, 100, true, 0)
	e := m.Estimate(start.Add(2*time.Second), Request{Pool: "p", Route: "r", Account: "new", Hint: 150})
	assert.InDelta(t, 1.6, e.Total.Seconds(), 0.1)
	assert.InDelta(t, 160, e.Output, 20)
	e = m.Estimate(start.Add(2*time.Second), Request{Pool: "p", Route: "other", Hint: 30, PromptTokens: 100, MaxOutput: 20})
	assert.Equal(t, defaultRest, e.Total)
	assert.InDelta(t, 120, e.Memory, 0.1, "prompt and output up to its limit")
}

// Fails if the time to read a prompt isn't learned, or is spoiled by a few late first events.
func TestReadingIsLearned(t *testing.T) {
	m, rng := NewModel(), rand.New(rand.NewPCG(3, 4))
	const perToken = 200 * time.Microsecond
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		r := Request{Pool: "p", Route: "r", Uncached: 200 + rng.IntN(3000)}
		first := 20*time.Millisecond + time.Duration(r.Uncached)*perToken
		if rng.Float64() < 0.1 {
			first += time.Second
		}
		o := Observation{FirstEvent: first * 2, Slowdown: 2}
		m.Observe(now, r, o)
		o.Total = o.FirstEvent + time.Second
		m.Observe(now, r, o)
	}
	e := m.Estimate(now, Request{Pool: "p", Route: "r", Uncached: 2000})
	assert.InDelta(t, 0.4, e.Read.Seconds(), 0.08)
	assert.InDelta(t, 0.42, e.FirstEvent.Seconds(), 0.1)
}

// Fails if a kind of request that changes is predicted by its past for good.
func TestObservationsDecay(t *testing.T) {
	m := NewModel()
	observeMix(m, 500, false, 0)
	now := start.Add(20 * time.Minute)
	r := Request{Pool: "p", Route: "r", Account: "a"}
	for range 10 {
		m.Observe(now, r, Observation{Total: 5 * time.Second})
	}
	assert.InDelta(t, 5, m.Estimate(now, r).Mean().Seconds(), 0.5)
}

// Fails if accounts or pools that come and go fill the memory.
func TestModelIsBounded(t *testing.T) {
	m := NewModel()
	for i := range 3 * maxKinds {
		name := strconv.Itoa(i)
		m.Observe(start.Add(time.Duration(i)), Request{Pool: name, Route: "r", Account: name, Uncached: 1}, Observation{FirstEvent: 1})
		m.Observe(start.Add(time.Duration(i)), Request{Pool: name, Route: "r", Account: name}, Observation{Total: math.MaxInt64})
	}
	require.LessOrEqual(t, len(m.kinds), maxKinds)
	require.LessOrEqual(t, len(m.reads), maxPools)
	assert.NotNil(t, m.kinds[kind{"r", "", 0}], "kinds in use are kept")
}

// Fails if a query about a request counts as a use of its kind, so that another kind is removed in its
// place, or gets another estimate than the request.
func TestPeekIsEstimateWithoutUse(t *testing.T) {
	m := NewModel()
	r := Request{Pool: "p", Route: "r", Account: "a"}
	now := time.Unix(1000, 0)
	for range 20 {
		m.Observe(now, r, Observation{Total: time.Second})
	}
	later := now.Add(time.Second)
	peeked := m.Peek(later, r)
	for _, s := range m.kinds {
		require.Equal(t, now, s.used)
	}
	require.Equal(t, m.Estimate(later, r), peeked)
	require.Greater(t, peeked.Total, 500*time.Millisecond, "it has learned")
}
