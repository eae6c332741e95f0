package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// readTime is how long an engine reads a request.
	prefillDuration = 110 * time.Millisecond
	// prompts are so many that engines have forgotten the first at the last.
	prompts = 30_000
	// perSubject are the requests of a subject before another comes in its place.
	perSubject = 20
)

// load is a table of engines that serve requests at a steady rate.
type steadyLoad struct {
	table   *Table
	now     time.Time
	pause   time.Duration
	prompts []Prompt
	ids     []string
	// detours are by data centre, factors how slow an engine is.
	transferCosts map[string]time.Duration
	slowdowns     map[string]float64
	// sent and ended count requests; those between them are read.
	sent, ended int
	sentAt      [prompts]time.Time
	requestEnds [prompts]RequestEnd
}

func newSteadyLoad(engines int, ratePerEngine float64) *steadyLoad {
	rng := rand.New(rand.NewPCG(1, 2))
	l := &steadyLoad{
		table: newFleetSim(engines).table, now: time.Now(),
		transferCosts: map[string]time.Duration{}, slowdowns: map[string]float64{},
		pause: time.Duration(float64(time.Second) / (ratePerEngine * float64(engines))),
	}
	for i := range 3 {
		l.transferCosts[fmt.Sprint("dc", i)] = time.Duration(i) * time.Millisecond
	}
	for i := range engines {
		l.slowdowns[fmt.Sprint("e", i)] = 0.9 + 0.2*rng.Float64()
	}
	for i := range prompts {
		base, own := rng.IntN(4), 500+rng.IntN(4000)
		subject := fmt.Sprintf("subject-%d-%d", base, i/(perSubject*engines)*engines+rng.IntN(engines))
		l.ids = append(l.ids, fmt.Sprint("request-", i))
		l.prompts = append(l.prompts, Prompt{Pool: "p", Tokens: 6300 + own, Parts: []Part{
			{ID: fmt.Sprint("base-", base), Tokens: 2520}, {ID: subject, Tokens: 3780}, {ID: fmt.Sprint("own-", i), Tokens: own},
		}})
	}
	return l
}

func (l *steadyLoad) transferCost(dataCentre string) time.Duration {
	return l.transferCosts[dataCentre]
}

// step plays one request: its two choices, its sending, and the ends that are due.
func (l *steadyLoad) step() {
	l.now = l.now.Add(l.pause)
	for l.ended < l.sent && l.now.Sub(l.sentAt[l.ended%prompts]) >= prefillDuration {
		l.table.RecordEnd(l.requestEnds[l.ended%prompts])
		l.ended++
	}
	i := l.sent % prompts
	p := &l.prompts[i]
	l.table.Choose(l.now, p, l.transferCost)
	c, _ := l.table.Choose(l.now, p, l.transferCost)
	l.table.RecordSent(l.now, l.ids[i], p, c)
	first := prefillFixed + time.Duration(c.uncached)*prefillPerToken
	l.sentAt[i] = l.now
	l.requestEnds[i] = RequestEnd{
		Request: l.ids[i], Engine: c.Engine.Incarnation,
		FirstEvent: time.Duration(float64(first) * l.slowdowns[c.Engine.Incarnation]),
	}
	l.sent++
}

// What a request costs in a fleet: two choices and what is noted of it, where a quarter
// of the engines are reading and where all are.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{60, 240, 1000} {
		for _, load := range []struct {
			name          string
			ratePerEngine float64
		}{{"quarter", 2.4}, {"all", 20}} {
			b.Run(fmt.Sprint(n, "/", load.name), func(b *testing.B) {
				l := newSteadyLoad(n, load.ratePerEngine)
				for range prompts {
					l.step()
				}
				b.ReportAllocs()
				for b.Loop() {
					l.step()
				}
			})
		}
	}
}
