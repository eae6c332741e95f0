package deadline

import "time"

// pathLengths holds the longest paths through a pipeline's remaining stages.
type pathLengths struct {
	// before is the longest path up to a stage, without it.
	before []time.Duration
	// from is the longest path from a stage to the end, with it.
	from []time.Duration
}

func measure(stages []Remaining, weight func(Remaining) time.Duration) pathLengths {
	p := pathLengths{
		before: make([]time.Duration, len(stages)),
		from:   make([]time.Duration, len(stages)),
	}
	for i := range stages {
		for _, j := range predecessors(stages, i) {
			p.before[i] = max(p.before[i], p.before[j]+weight(stages[j]))
		}
	}
	for i := len(stages) - 1; i >= 0; i-- {
		p.from[i] += weight(stages[i])
		for _, j := range predecessors(stages, i) {
			p.from[j] = max(p.from[j], p.from[i])
		}
	}
	return p
}

func (p pathLengths) longest() time.Duration {
	var out time.Duration
	for _, d := range p.from {
		out = max(out, d)
	}
	return out
}

// critical lists the stages on the longest path, in order.
func (p pathLengths) critical(stages []Remaining) []int {
	var out []int
	longest := p.longest()
	at := time.Duration(0)
	for i := range stages {
		if p.before[i] == at && p.before[i]+p.from[i] == longest {
			out = append(out, i)
			at = p.before[i] + p.own(stages, i)
		}
	}
	return out
}

// own is the weight of a stage, found from the path lengths.
func (p pathLengths) own(stages []Remaining, i int) time.Duration {
	var after time.Duration
	for j := i + 1; j < len(stages); j++ {
		for _, k := range predecessors(stages, j) {
			if k == i {
				after = max(after, p.from[j])
			}
		}
	}
	return p.from[i] - after
}

// predecessors lists the positions of the remaining stages that stage i needs.
func predecessors(stages []Remaining, i int) []int {
	var out []int
	for _, index := range stages[i].After {
		for j := 0; j < i; j++ {
			if stages[j].Stage == index {
				out = append(out, j)
			}
		}
	}
	return out
}
