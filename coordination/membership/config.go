package membership

import "time"

// Config holds the periods and bounds. Zero values take the defaults.
type Config struct {
	// Period is the time between two probes.
	Period time.Duration
	// ProbeTimeout is how long a direct probe waits before other paths are
	// tried. It is shorter than Period.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on our behalf.
	IndirectProbes int
	// Rings is the number of members that an instance probes in turn. A
	// cluster with no more others is probed whole.
	Rings int
	// SuspicionPeriods, times the logarithm of the cluster's size, is how many
	// periods a suspect has to refute.
	SuspicionPeriods int
	// RetransmitFactor, times the logarithm of the cluster's size, is how
	// often an instance passes an update on.
	RetransmitFactor int
	// MaxUpdates and MaxUpdateBytes bound the updates on one message.
	MaxUpdates     int
	MaxUpdateBytes int
	// DeadRetry is the time between two tries to reach a dead member.
	DeadRetry time.Duration
	// Retention is how long a member that is dead or left is remembered. It is
	// longer than the partitions that should heal by themselves.
	Retention time.Duration
	// MaxGone bounds the remembered members that are dead or left.
	MaxGone int
	// MaxMembers bounds the members that are live.
	MaxMembers int
	// SyncEvery is the time between two full exchanges while the digests of
	// two instances differ.
	SyncEvery time.Duration
	// SyncPage bounds the members in one SyncAnswer.
	SyncPage int
	// LeaveFanout is the number of members told directly of a departure.
	LeaveFanout int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		IndirectProbes:   3,
		Rings:            8,
		SuspicionPeriods: 4,
		RetransmitFactor: 3,
		MaxUpdates:       6,
		MaxUpdateBytes:   600,
		DeadRetry:        5 * time.Second,
		Retention:        2 * time.Hour,
		MaxGone:          1024,
		MaxMembers:       4096,
		SyncEvery:        30 * time.Second,
		SyncPage:         32,
		LeaveFanout:      6,
	}
}

// withDefaults fills what is zero.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	fill(&c.Period, d.Period)
	fill(&c.ProbeTimeout, d.ProbeTimeout)
	fill(&c.IndirectProbes, d.IndirectProbes)
	fill(&c.Rings, d.Rings)
	fill(&c.SuspicionPeriods, d.SuspicionPeriods)
	fill(&c.RetransmitFactor, d.RetransmitFactor)
	fill(&c.MaxUpdates, d.MaxUpdates)
	fill(&c.MaxUpdateBytes, d.MaxUpdateBytes)
	fill(&c.DeadRetry, d.DeadRetry)
	fill(&c.Retention, d.Retention)
	fill(&c.MaxGone, d.MaxGone)
	fill(&c.MaxMembers, d.MaxMembers)
	fill(&c.SyncEvery, d.SyncEvery)
	fill(&c.SyncPage, d.SyncPage)
	fill(&c.LeaveFanout, d.LeaveFanout)
	return c
}

// fill sets a value that is zero.
func fill[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
