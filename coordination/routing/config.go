package routing

import "time"

// Defaults of Config.
const (
	DefaultSubsetSize       = 64
	DefaultChoices          = 2
	DefaultMaxOrigins       = 32
	DefaultMaxDigestEntries = 128
	DefaultDigestTTL        = 2 * time.Second
	DefaultReportTTL        = 500 * time.Millisecond
	DefaultSlowStartWindow  = 10 * time.Second
	DefaultBaseEjectionTime = 1 * time.Second
	DefaultMaxEjectionTime  = 30 * time.Second
	DefaultLeavingRetention = 10 * time.Minute
	DefaultPrefixTTL        = 2 * time.Minute
	DefaultPrefixTableSize  = 2048
	DefaultCacheWeight      = 0.5
)

// Config holds the settings of a Table. Fields that are zero or less take their defaults.
type Config struct {
	// Instance is the name of this instance; it seeds the choice of its subsets.
	Instance        string
	LocalDataCentre string
	// SubsetSize bounds the targets kept for each pool.
	SubsetSize int
	// Choices is the number of targets sampled for a pick.
	Choices int
	// MaxOrigins bounds the peers whose digests are kept.
	MaxOrigins int
	// MaxDigestEntries bounds the entries of a digest, sent or received.
	MaxDigestEntries int
	// DigestTTL is how long a peer's digest is used.
	DigestTTL time.Duration
	// ReportTTL is the age at which a target's report is no longer used; its weight
	// falls linearly until then.
	ReportTTL time.Duration
	// SlowStartWindow is the time in which a new target ramps up to its full share of
	// the traffic.
	SlowStartWindow time.Duration
	// BaseEjectionTime is the length of the first ejection. Each consecutive ejection
	// doubles it, up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// LeavingRetention is how long a leaving incarnation is remembered after it was
	// last listed.
	LeavingRetention time.Duration
	// CacheWeight, 0 to 1, is the share of a target's score by which a fully cached
	// prompt reduces it.
	CacheWeight float64
	// PrefixTTL is how long the parts of a prompt are assumed to stay in a target's
	// cache after a request with them was sent there or a cache event named them.
	PrefixTTL time.Duration
	// PrefixTableSize bounds the prefix parts remembered for each target.
	PrefixTableSize int
	// CostPlacement chooses targets by the predicted cost of requests and by the work that each
	// target has left, where queries state the cost.
	CostPlacement bool
	// Disabled turns mechanisms off, for experiments.
	Disabled Mechanism
}

func (c Config) disabled(m Mechanism) bool {
	return c.Disabled&m != 0
}

func orDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.SubsetSize, DefaultSubsetSize)
	orDefault(&c.Choices, DefaultChoices)
	orDefault(&c.MaxOrigins, DefaultMaxOrigins)
	orDefault(&c.MaxDigestEntries, DefaultMaxDigestEntries)
	orDefault(&c.DigestTTL, DefaultDigestTTL)
	orDefault(&c.ReportTTL, DefaultReportTTL)
	orDefault(&c.SlowStartWindow, DefaultSlowStartWindow)
	orDefault(&c.BaseEjectionTime, DefaultBaseEjectionTime)
	orDefault(&c.MaxEjectionTime, DefaultMaxEjectionTime)
	orDefault(&c.LeavingRetention, DefaultLeavingRetention)
	orDefault(&c.PrefixTTL, DefaultPrefixTTL)
	orDefault(&c.PrefixTableSize, DefaultPrefixTableSize)
	if c.CacheWeight <= 0 {
		c.CacheWeight = DefaultCacheWeight
	}
	return c
}
