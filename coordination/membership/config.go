package membership

import (
	"cmp"
	"time"
)

// Config holds the intervals and limits. Zero values take the defaults.
type Config struct {
	// Period is the time between two probes.
	Period time.Duration
	// ProbeTimeout is how long a direct probe waits for an Ack before other
	// paths are tried. It is shorter than Period.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are requested to probe on
	// behalf of this instance.
	IndirectProbes int
	// Rings is the number of members that an instance probes in turn. An
	// instance with no more than Rings other members probes all of them.
	Rings int
	// SuspicionPeriods, times the logarithm of the cluster's size, is how many
	// periods a suspect has to refute.
	SuspicionPeriods int
	// RetransmitFactor, times the logarithm of the cluster's size, is how
	// many times an instance sends an update.
	RetransmitFactor int
	// MaxUpdates and MaxUpdateBytes bound the updates on one message.
	MaxUpdates     int
	MaxUpdateBytes int
	// DeadProbeInterval is the time between two attempts to reach a dead member.
	DeadProbeInterval time.Duration
	// Retention is how long a member that is dead or left stays in the table.
	// It must exceed the duration of partitions that are to heal without the
	// platform's list.
	Retention time.Duration
	// MaxDeadOrLeft bounds the members in the table that are dead or left.
	MaxDeadOrLeft int
	// MaxMembers bounds the members that are live.
	MaxMembers int
	// SyncInterval is the time between two full exchanges while the digests of
	// two instances differ.
	SyncInterval time.Duration
	// SyncPage bounds the members in one SyncResponse.
	SyncPage int
	// LeaveFanout is the number of members that a leaving instance notifies
	// directly.
	LeaveFanout int
	// EagerFanout is the number of members to which an instance that learns of a
	// start or departure forwards it immediately.
	EagerFanout int
	// EagerRate is the average number of copies of such updates that an instance
	// sends per second, EagerBurst the number it may send at once. A copy takes
	// about 100 bytes; the budget of all control traffic is 2 KB/s.
	EagerRate  int
	EagerBurst int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Period:            time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		Rings:             8,
		SuspicionPeriods:  4,
		RetransmitFactor:  3,
		MaxUpdates:        6,
		MaxUpdateBytes:    600,
		DeadProbeInterval: 5 * time.Second,
		Retention:         2 * time.Hour,
		MaxDeadOrLeft:     1024,
		MaxMembers:        4096,
		SyncInterval:      30 * time.Second,
		SyncPage:          32,
		LeaveFanout:       6,
		EagerFanout:       3,
		EagerRate:         3,
		EagerBurst:        80,
	}
}

// withDefaults returns the configuration with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.Period = cmp.Or(c.Period, d.Period)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, d.ProbeTimeout)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, d.IndirectProbes)
	c.Rings = cmp.Or(c.Rings, d.Rings)
	c.SuspicionPeriods = cmp.Or(c.SuspicionPeriods, d.SuspicionPeriods)
	c.RetransmitFactor = cmp.Or(c.RetransmitFactor, d.RetransmitFactor)
	c.MaxUpdates = cmp.Or(c.MaxUpdates, d.MaxUpdates)
	c.MaxUpdateBytes = cmp.Or(c.MaxUpdateBytes, d.MaxUpdateBytes)
	c.DeadProbeInterval = cmp.Or(c.DeadProbeInterval, d.DeadProbeInterval)
	c.Retention = cmp.Or(c.Retention, d.Retention)
	c.MaxDeadOrLeft = cmp.Or(c.MaxDeadOrLeft, d.MaxDeadOrLeft)
	c.MaxMembers = cmp.Or(c.MaxMembers, d.MaxMembers)
	c.SyncInterval = cmp.Or(c.SyncInterval, d.SyncInterval)
	c.SyncPage = cmp.Or(c.SyncPage, d.SyncPage)
	c.LeaveFanout = cmp.Or(c.LeaveFanout, d.LeaveFanout)
	c.EagerFanout = cmp.Or(c.EagerFanout, d.EagerFanout)
	c.EagerRate = cmp.Or(c.EagerRate, d.EagerRate)
	c.EagerBurst = cmp.Or(c.EagerBurst, d.EagerBurst)
	return c
}
