package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// prefillDuration is how long an engine processes a prompt.
	prefillDuration = 110 * time.Millisecond
	// prompts is high enough that the first prompt is evicted before the last one is sent.
	prompts = 30_000
	// perSubject is the number of requests of a subject before another subject replaces it.
	perSubject = 20
)

// steadyLoad is a table of engines that receive requests at a steady rate.
type steadyLoad struct {
	table   *Table
	now     time.Time
	pause   time.Duration
	prompts []Prompt
	ids     []string
	// transferCosts are by data centre, slowdowns by engine.
	transferCosts map[string]time.Duration
	slowdowns     map[string]float64
	// sent and ended count requests; those between them are being processed.
	sent, ended int
	sentAt      [prompts]time.Time
	requestEnds [prompts]RequestEnd
}

func newSteadyLoad(table *Table, engines int, ratePerEngine float64) *steadyLoad {
	rng := rand.New(rand.NewPCG(1, 2))
	l := &steadyLoad{
		table: newFleetSimWith(table, engines).table, now: time.Now(),
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

// step simulates one request: its two choices, its sending, and the ends that are due.
func (l *steadyLoad) step() {
	l.now = l.now.Add(l.pause)
	for l.ended < l.sent && l.now.Sub(l.sentAt[l.ended%prompts]) >= prefillDuration {
		end := l.requestEnds[l.ended%prompts]
		end.Running = true
		l.table.RecordProgress(l.now, end)
		l.table.RecordEnd(end)
		// Its stream has four times the time to its first event.
		if ended := l.ended - 4*int(prefillDuration/l.pause); ended >= 0 {
			end = l.requestEnds[ended%prompts]
			end.Duration, end.Events, end.Complete = 5*prefillDuration, 20, true
			l.table.RecordProgress(l.now, end)
		}
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

// BenchmarkRequest measures the cost of one request: two choices and its record, with a
// quarter of the engines busy and with all of them busy.
func BenchmarkRequest(b *testing.B) { benchmarkRequest(b, NewTable) }

// BenchmarkRequestByCost does so with accounts of the engines' work.
func BenchmarkRequestByCost(b *testing.B) { benchmarkRequest(b, NewTableByCost) }

func benchmarkRequest(b *testing.B, table func() *Table) {
	for _, n := range []int{60, 240, 1000} {
		for _, c := range []struct {
			name          string
			ratePerEngine float64
		}{{"quarter", 2.4}, {"all", 20}} {
			b.Run(fmt.Sprint(n, "/", c.name), func(b *testing.B) {
				l := newSteadyLoad(table(), n, c.ratePerEngine)
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
