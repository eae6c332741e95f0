package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// playTick is the resolution of a play, playReport how much later the holder learns of an event.
const (
	playTick   = 5 * time.Millisecond
	playReport = 60 * time.Millisecond
	// playStep is the time of a step with one request, playSlope the share by which each other one
	// lengthens it, playReadRate the tokens read in a second.
	playStep     = 20 * time.Millisecond
	playSlope    = 0.02
	playReadRate = 40_000.0
	// firstEventObjective is the objective of a light request.
	firstEventObjective = 300 * time.Millisecond
	slowFactor          = 2.5
)

// playKind is a kind of request: its rate in a second, the tokens in common with those of its subject
// and its own, and the median of its output tokens, with a scatter by a factor of up to two.
type playKind struct {
	name                string
	rate                float64
	subjects            int
	shared, own, output int
}

// play simulates engines that run requests in batches, and a holder that places them.
type play struct {
	engines, slots, memory int
	kinds                  []playKind
	lasts                  time.Duration
	byCost                 bool
	// atOnce has the holder learn of events without playReport.
	atOnce bool
	// lost is the share of reports of ends that are lost.
	lost float64
	// slowUntil is until when the first engine takes slowFactor times as long.
	slowUntil time.Duration

	rng, losses *rand.Rand
	table       *Table
	sims        []*playEngine
	reports     []pendingEnd
	result      playResult
}

type playResult struct {
	light, lightInTime int
	sharedRead         int
	// busiest is the work of the busiest engine over the mean.
	busiest float64
	// overfull counts sends that exceed an engine's memory while another has room for them.
	overfull, sent int
	lateDecile     time.Duration
	lightFirst     []time.Duration
}

type playEngine struct {
	name             string
	cached           map[string]bool
	waiting, running []*playRequest
	work             float64
}

type playRequest struct {
	id      string
	kind    *playKind
	sent    time.Time
	unread  float64
	output  float64
	done    float64
	first   time.Duration
	reserve int
}

func (p *play) run(seed uint64) playResult {
	p.rng, p.losses = rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
	if p.table = NewTable(); p.byCost {
		p.table = NewTableByCost()
	}
	var list []Engine
	for i := range p.engines {
		name := fmt.Sprint("e", i)
		p.sims = append(p.sims, &playEngine{name: name, cached: map[string]bool{}})
		list = append(list, Engine{Incarnation: name, Name: name})
	}
	p.table.SetEngines(Pool{Name: "p", CacheTokens: p.memory, Slots: p.slots}, list)
	next := make([]time.Duration, len(p.kinds))
	n := 0
	for at := time.Duration(0); at < p.lasts; at += playTick {
		now := start.Add(at)
		p.report(now)
		for i := range p.kinds {
			for next[i] <= at {
				n++
				p.send(now, fmt.Sprint(n), &p.kinds[i])
				next[i] += time.Duration(p.rng.ExpFloat64() / p.kinds[i].rate * float64(time.Second))
			}
		}
		for _, e := range p.sims {
			p.step(now, e)
		}
		p.table.Tick(now)
	}
	return p.finish()
}

func (p *play) send(now time.Time, id string, k *playKind) {
	// Subjects differ in how often they come, as the square of a uniform number.
	subject := fmt.Sprint(k.name, int(math.Pow(p.rng.Float64(), 2)*float64(k.subjects)))
	prompt := &Prompt{Pool: "p", Route: k.name, Tokens: k.shared + k.own, Parts: []Part{{subject, k.shared}, {"own" + id, k.own}}}
	c, _ := p.table.Choose(now, prompt, noTransferCost)
	p.table.RecordSent(now, id, prompt, c)
	e := p.sims[slices.IndexFunc(p.sims, func(e *playEngine) bool { return e.name == c.Engine.Incarnation })]
	r := &playRequest{id: id, kind: k, sent: now, unread: float64(k.own), output: float64(k.output) * math.Exp2(2*p.rng.Float64()-1)}
	if !e.cached[subject] {
		e.cached[subject] = true
		r.unread += float64(k.shared)
		p.result.sharedRead += k.shared
	}
	r.reserve = k.shared + k.own + int(r.output)
	e.work += r.unread/playReadRate + r.output*playStep.Seconds()
	p.result.sent++
	if p.memory > 0 && e.used()+r.reserve > p.memory && slices.ContainsFunc(p.sims, func(o *playEngine) bool { return o.used()+r.reserve <= p.memory }) {
		p.result.overfull++
	}
	e.waiting = append(e.waiting, r)
}

func (e *playEngine) used() (tokens int) {
	for _, r := range slices.Concat(e.waiting, e.running) {
		tokens += r.reserve
	}
	return tokens
}

// step lets an engine work for a tick. While a prompt is read, half of the time is for it.
func (p *play) step(now time.Time, e *playEngine) {
	tick := playTick.Seconds()
	if e == p.sims[0] && now.Sub(start) < p.slowUntil {
		tick /= slowFactor
	}
	for len(e.waiting) > 0 && len(e.running) < p.slots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	share := 1.0
	if i := slices.IndexFunc(e.running, func(r *playRequest) bool { return r.unread > 0 }); i >= 0 {
		if share = 0.5; len(e.running) == 1 {
			share = 0
		}
		e.running[i].unread -= (1 - share) * tick * playReadRate
	}
	steps := share * tick / (playStep.Seconds() * (1 + playSlope*float64(len(e.running)-1)))
	e.running = slices.DeleteFunc(e.running, func(r *playRequest) bool {
		if r.unread > 0 {
			return false
		}
		if r.first == 0 {
			r.first = now.Sub(r.sent) + playTick
			p.pend(now, RequestEnd{Request: r.id, Engine: e.name, FirstEvent: r.first, Running: p.byCost})
			if r.kind.name == "light" {
				p.result.lightFirst = append(p.result.lightFirst, r.first)
			}
		}
		if r.done += steps; r.done < r.output {
			return false
		}
		if p.byCost && p.losses.Float64() >= p.lost {
			p.pend(now, RequestEnd{Request: r.id, Engine: e.name, FirstEvent: r.first, Duration: now.Sub(r.sent), Events: int(r.output), Complete: true})
		}
		return true
	})
}

func (p *play) pend(now time.Time, end RequestEnd) {
	due := now.Add(playReport)
	if p.atOnce {
		due = now
	}
	p.reports = append(p.reports, pendingEnd{due, end})
}

func (p *play) report(now time.Time) {
	for len(p.reports) > 0 && !p.reports[0].at.After(now) {
		end := p.reports[0].RequestEnd
		p.reports = p.reports[1:]
		p.table.RecordProgress(now, end)
		if !end.EndsStream() {
			p.table.RecordEnd(end)
		}
	}
}

func (p *play) finish() playResult {
	r := &p.result
	most, sum := 0.0, 0.0
	for _, e := range p.sims {
		most, sum = max(most, e.work), sum+e.work
		for _, w := range slices.Concat(e.waiting, e.running) {
			if w.kind.name == "light" && w.first == 0 && p.lasts-w.sent.Sub(start) > firstEventObjective {
				r.lightFirst = append(r.lightFirst, p.lasts)
			}
		}
	}
	r.busiest = most / (sum / float64(len(p.sims)))
	slices.Sort(r.lightFirst)
	r.light = len(r.lightFirst)
	r.lightInTime, _ = slices.BinarySearch(r.lightFirst, firstEventObjective+1)
	if r.light > 0 {
		r.lateDecile = r.lightFirst[r.light*9/10]
	}
	return *r
}
