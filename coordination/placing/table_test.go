package placing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func atHome(string) time.Duration { return 0 }

// fleet plays engines that read one prompt after the other.
type fleet struct {
	table *Table
	// free is when an engine has read what it was sent, cached what it has read.
	free   map[string]time.Time
	cached map[string]map[string]bool
	ends   []end
}

type end struct {
	at time.Time
	Served
}

const (
	readPerToken = 23 * time.Microsecond
	readFixed    = 20 * time.Millisecond
)

func newFleet(n int) *fleet {
	f := &fleet{table: NewTable(), free: map[string]time.Time{}, cached: map[string]map[string]bool{}}
	var list []Engine
	for i := range n {
		id := fmt.Sprint("e", i)
		list = append(list, Engine{Incarnation: id, Name: id, DataCentre: fmt.Sprint("dc", i%3)})
		f.cached[id] = map[string]bool{}
	}
	f.table.SetEngines(Pool{Name: "p", CacheTokens: 370_000}, list)
	return f
}

// send has an engine read a prompt and returns the time to its first event.
func (f *fleet) send(now time.Time, id string, p *Prompt, engine string) time.Duration {
	f.settle(now)
	unread := p.Tokens
	for _, part := range p.Parts {
		if !f.cached[engine][part.ID] {
			break
		}
		unread -= part.Tokens
	}
	for _, part := range p.Parts {
		f.cached[engine][part.ID] = true
	}
	begin := now
	if f.free[engine].After(begin) {
		begin = f.free[engine]
	}
	f.free[engine] = begin.Add(readFixed + time.Duration(unread)*readPerToken)
	first := f.free[engine].Sub(now)
	f.ends = append(f.ends, end{now.Add(first), Served{Request: id, Engine: engine, First: first}})
	return first
}

// settle tells the table of the first events up to now.
func (f *fleet) settle(now time.Time) {
	slices.SortStableFunc(f.ends, func(a, b end) int { return a.at.Compare(b.at) })
	for len(f.ends) > 0 && !f.ends[0].at.After(now) {
		f.table.Ended(f.ends[0].Served)
		f.ends = f.ends[1:]
	}
}

// burst is four seconds of prompts of 9,000 tokens, six tenths of them shared by a few
// of 160 subjects.
func burst(seed uint64, play func(now time.Time, id string, p *Prompt)) {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := start
	for i := range 100 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond)))
		subject := rng.IntN(160)
		own := 500 + rng.IntN(5000)
		p := &Prompt{Pool: "p", Tokens: 6300 + own, Parts: []Part{
			{ID: fmt.Sprint("base", subject%4), Tokens: 2520}, {ID: fmt.Sprint("subject", subject), Tokens: 3780}, {ID: fmt.Sprint("own", i), Tokens: own},
		}}
		play(now, fmt.Sprint(i), p)
	}
}

// Callers come twice as often for some seconds, with long prompts. By hash alone two or
// three engines of nine get most of them, and their callers wait a second for the first
// event while the other engines are idle.
func TestBurstIsSpread(t *testing.T) {
	const inTime = 500 * time.Millisecond
	var late, lateByHash int
	for seed := range uint64(10) {
		f, byHash := newFleet(9), newFleet(9)
		burst(seed, func(now time.Time, id string, p *Prompt) {
			f.settle(now)
			c, ok := f.table.Choose(now, p, atHome)
			require.True(t, ok)
			f.table.Sent(now, id, p, c)
			if f.send(now, id, p, c.Engine.Incarnation) > inTime {
				late++
			}
			if byHash.send(now, id, p, byHash.table.pools["p"].homeOf(p.home())) > inTime {
				lateByHash++
			}
		})
	}
	t.Logf("of 1,000 prompts %d take more than %v, by hash alone %d", late, inTime, lateByHash)
	require.Less(t, 5*late, lateByHash)
}

// Requests of one subject come a few times a second. Read at another engine each time,
// its 6,000 shared tokens would cost more than their own part.
func TestSubjectsStayWhereTheyWereRead(t *testing.T) {
	f := newFleet(9)
	engines := map[string]bool{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 400 * time.Millisecond)
		f.settle(now)
		p := &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{"subject", 6000}, {fmt.Sprint("own", i), 1000}}}
		c, _ := f.table.Choose(now, p, atHome)
		f.table.Sent(now, fmt.Sprint(i), p, c)
		f.send(now, fmt.Sprint(i), p, c.Engine.Incarnation)
		engines[c.Engine.Incarnation] = true
	}
	require.Len(t, engines, 1)
}

// Another instance holds the queue after the one before was killed. It knows of nothing
// that was read, and must find most subjects where they are.
func TestNewHolderFindsSubjectsAgain(t *testing.T) {
	before, after := newFleet(9), newFleet(9)
	prompt := func(i int) *Prompt {
		return &Prompt{Pool: "p", Tokens: 1500, Parts: []Part{{fmt.Sprint("subject", i), 1000}, {fmt.Sprint("own", i), 500}}}
	}
	placed := map[int]string{}
	for i := range 100 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		before.settle(now)
		p := prompt(i)
		c, _ := before.table.Choose(now, p, atHome)
		before.table.Sent(now, fmt.Sprint(i), p, c)
		before.send(now, fmt.Sprint(i), p, c.Engine.Incarnation)
		placed[i] = c.Engine.Incarnation
	}
	same := 0
	for i := range 100 {
		if c, _ := after.table.Choose(start, prompt(i), atHome); c.Engine.Incarnation == placed[i] {
			same++
		}
	}
	require.Greater(t, same, 75)
}

// An engine is dead or silent, and no list says so yet. Requests wait there for their
// first events; each that is sent there meanwhile is late.
func TestSilentEngineIsLeft(t *testing.T) {
	f := newFleet(3)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	c, _ := f.table.Choose(start, p, atHome)
	f.table.Sent(start, "1", p, c)
	again, _ := f.table.Choose(start.Add(100*time.Millisecond), p, atHome)
	require.Equal(t, c.Engine, again.Engine, "what it has read is worth a short wait")
	later, _ := f.table.Choose(start.Add(2*time.Second), p, atHome)
	require.NotEqual(t, c.Engine, later.Engine)
}

// TestEngineThatIsGoneIsLeft guards against requests sent in turn to an engine at whose
// address nothing listens, which reads nothing and so counts as idle.
func TestEngineThatIsGoneIsLeft(t *testing.T) {
	f := newFleet(3)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	c, _ := f.table.Choose(start, p, atHome)
	f.table.Gone(start, "p", c.Engine.Incarnation)
	f.table.Gone(start.Add(time.Millisecond), "p", c.Engine.Incarnation)
	other, _ := f.table.Choose(start.Add(gonePause-time.Millisecond), p, atHome)
	require.NotEqual(t, c.Engine, other.Engine)

	later := start.Add(gonePause)
	again, _ := f.table.Choose(later, p, atHome)
	require.Equal(t, c.Engine, again.Engine, "it is tried again")
	f.table.Gone(later, "p", c.Engine.Incarnation)
	other, _ = f.table.Choose(later.Add(2*gonePause-time.Millisecond), p, atHome)
	require.NotEqual(t, c.Engine, other.Engine, "the pause grows")

	for _, e := range []string{"e0", "e1", "e2"} {
		f.table.Gone(later.Add(time.Minute), "p", e)
	}
	_, ok := f.table.Choose(later.Add(time.Minute), p, atHome)
	require.True(t, ok, "one of several that are gone may be back")
}

// The word of a request's first event is lost. Its engine counts as behind, but not for
// ever: it would get nothing any more.
func TestLostWordIsForgotten(t *testing.T) {
	f := newFleet(3)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	c, _ := f.table.Choose(start, p, atHome)
	f.table.Sent(start, "1", p, c)
	f.table.Tick(start.Add(forgetAfter))
	left, _ := f.table.Choose(start.Add(forgetAfter), p, atHome)
	require.NotEqual(t, c.Engine, left.Engine)
	later := start.Add(forgetAfter + time.Millisecond)
	f.table.Tick(later)
	again, _ := f.table.Choose(later, p, atHome)
	require.Equal(t, c.Engine, again.Engine)
	require.Empty(t, f.table.placed)
}

// An engine failed the request before, which is to go elsewhere. With all engines
// excluded there is none.
func TestExcludedEnginesAreNotChosen(t *testing.T) {
	f := newFleet(2)
	p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{"subject", 1900}, {"own", 100}}}
	first, _ := f.table.Choose(start, p, atHome)
	p.Exclude = []string{first.Engine.Incarnation}
	second, ok := f.table.Choose(start, p, atHome)
	require.True(t, ok)
	require.NotEqual(t, first.Engine, second.Engine)
	p.Exclude = append(p.Exclude, second.Engine.Incarnation)
	_, ok = f.table.Choose(start, p, atHome)
	require.False(t, ok)
}

// Large inputs are made in one data centre. A request whose shared part is short is
// served there; one whose long shared part was read elsewhere stays with it.
func TestInputsDrawShortPrompts(t *testing.T) {
	f := newFleet(9)
	detour := func(dataCentre string) time.Duration {
		if dataCentre == "dc1" {
			return 0
		}
		return 100 * time.Millisecond
	}
	for i := range 20 {
		short := &Prompt{Pool: "p", Tokens: 700, Parts: []Part{{fmt.Sprint("s", i), 170}, {"own", 530}}}
		c, _ := f.table.Choose(start, short, detour)
		require.Equal(t, "dc1", c.Engine.DataCentre)
	}
	long := &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{"long", 6300}, {"own", 700}}}
	f.table.Sent(start, "1", long, Choice{Engine: Engine{Incarnation: "e0"}})
	f.table.Ended(Served{Request: "1"})
	c, _ := f.table.Choose(start, long, detour)
	require.Equal(t, "e0", c.Engine.Incarnation)
}

// An engine takes five times as long as the others. It is learned, and it gets less.
func TestSlowEngineGetsLess(t *testing.T) {
	f := newFleet(4)
	count := map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		f.settle(now)
		p := &Prompt{Pool: "p", Tokens: 2000, Parts: []Part{{fmt.Sprint("s", i), 1000}, {"own", 1000}}}
		c, _ := f.table.Choose(now, p, atHome)
		f.table.Sent(now, fmt.Sprint(i), p, c)
		took := readFixed + 2000*readPerToken
		if c.Engine.Incarnation == "e0" {
			took *= 5
		}
		f.ends = append(f.ends, end{now.Add(took), Served{Request: fmt.Sprint(i), Engine: c.Engine.Incarnation, First: took}})
		count[c.Engine.Incarnation]++
	}
	require.Less(t, count["e0"], 40, "%v", count)
}

// Requests, ends, failures and lists of engines come in any order. A choice is always a
// listed engine that isn't excluded, and nothing is remembered of what has ended.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		now := start
		var listed []Engine
		list := func() {
			listed = nil
			for i := range rapid.IntRange(0, 5).Draw(rt, "engines") {
				id := fmt.Sprintf("e%d@%d", i, rapid.IntRange(0, 1).Draw(rt, "start"))
				listed = append(listed, Engine{Incarnation: id, Name: fmt.Sprint("e", i), DataCentre: "x"})
			}
			table.SetEngines(Pool{Name: "p", CacheTokens: 20_000}, listed)
		}
		list()
		open := map[string]string{}
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				list()
			case 1, 2:
				id := fmt.Sprint(step)
				p := &Prompt{Pool: "p", Tokens: 5000, Exclude: []string{"e0@0"}, Parts: []Part{{fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "subject")), 4000}, {id, 1000}}}
				c, ok := table.Choose(now, p, atHome)
				if !ok {
					continue
				}
				require.Contains(rt, listed, c.Engine)
				require.NotEqual(rt, "e0@0", c.Engine.Incarnation)
				table.Sent(now, id, p, c)
				open[id] = c.Engine.Incarnation
			case 3:
				for id, engine := range open {
					table.Ended(Served{Request: id, Engine: engine, First: time.Duration(rapid.IntRange(0, 2).Draw(rt, "first")) * time.Second})
					delete(open, id)
					break
				}
			}
			reading := 0
			for _, e := range table.pools["p"].engines {
				reading += len(e.reading)
				require.LessOrEqual(rt, e.cachedTokens, 20_000)
			}
			require.Len(rt, table.placed, reading)
		}
	})
}

// What a choice costs at fleets of 10, 100 and 1,000 engines.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			burst(1, func(now time.Time, id string, p *Prompt) {
				c, _ := f.table.Choose(now, p, atHome)
				f.table.Sent(now, id, p, c)
			})
			p := &Prompt{Pool: "p", Tokens: 7000, Parts: []Part{{"base0", 2520}, {"subject4", 3780}, {"own", 700}}}
			b.ReportAllocs()
			for b.Loop() {
				f.table.Choose(start, p, atHome)
			}
		})
	}
}
