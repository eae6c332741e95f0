package metrics

import "github.com/uber-go/tally/v4"

// label is one label of a metric; the zero label is none.
type label struct{ key, value string }

// seriesID identifies one time series.
type seriesID struct {
	name   string
	labels [maxLabels]label
}

// maxLabels is the maximum number of labels of these metrics.
const maxLabels = 2

// counter is a counter whose total is kept by a component; total is the value reported last.
type counter struct {
	tally.Counter
	total uint64
}

// series caches the metrics in use, since a scope's Tagged costs a lock and a map. Its size
// is limited by the number of pools, tiers and constants that are label values.
type series struct {
	scope    tally.Scope
	gauges   map[seriesID]tally.Gauge
	counters map[seriesID]*counter
}

func newSeries(scope tally.Scope) *series {
	return &series{
		scope:    scope,
		gauges:   make(map[seriesID]tally.Gauge),
		counters: make(map[seriesID]*counter),
	}
}

func (s *series) setGauge(value float64, name string, labels ...label) {
	key := newSeriesID(name, labels)
	g, ok := s.gauges[key]
	if !ok {
		g = s.tagged(labels).Gauge(name)
		s.gauges[key] = g
	}
	g.Update(value)
}

// raiseCounter raises a counter to a total, which never decreases.
func (s *series) raiseCounter(total uint64, name string, labels ...label) {
	key := newSeriesID(name, labels)
	c, ok := s.counters[key]
	if !ok {
		c = &counter{Counter: s.tagged(labels).Counter(name)}
		s.counters[key] = c
	}
	if total > c.total {
		c.Inc(int64(total - c.total))
		c.total = total
	}
}

func newSeriesID(name string, labels []label) seriesID {
	key := seriesID{name: name}
	copy(key.labels[:], labels)
	return key
}

func (s *series) tagged(labels []label) tally.Scope {
	if len(labels) == 0 {
		return s.scope
	}
	tags := make(map[string]string, len(labels))
	for _, l := range labels {
		tags[l.key] = l.value
	}
	return s.scope.Tagged(tags)
}
