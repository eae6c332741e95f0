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

// Config holds the settings of a Table. A zero field takes its default.
type Config struct {
	// Instance names this instance; it seeds the choice of its subsets.
	Instance        string
	LocalDataCentre string
	// Subset is the number of targets kept for each pool.
	SubsetSize int
	// Choices is the number of targets that are sampled for a pick.
	Choices int
	// Origins bounds the number of peers whose digests are kept.
	MaxOrigins int
	// DigestEntries bounds the entries of an own digest.
	MaxDigestEntries int
	// DigestTTL is how long a peer's digest counts.
	DigestTTL time.Duration
	// ReportTrust is the age at which a target's report counts no longer.
	ReportTTL time.Duration
	// SlowStart is how long a new target takes to get its full share.
	SlowStartWindow time.Duration
	// Ejection is how long a first ejection lasts; each further one in a row
	// doubles it up to EjectionMax.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// LeavingRetention is how long a leaving incarnation is remembered after
	// it vanished from the list.
	LeavingRetention time.Duration
	// CacheWeight, 0 to 1, is how much of a target's score a fully cached
	// prompt takes off.
	CacheWeight float64
	// PrefixTTL is how long an own routing decision counts as a cached prefix.
	PrefixTTL time.Duration
	// PrefixSlots bounds the prefix parts remembered for each target.
	PrefixTableSize int
	// Off switches mechanisms off, for experiments.
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
