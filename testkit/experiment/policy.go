package experiment

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/routing/baseline"
)

func newPlainControl(*Shape) Control {
	return PlainControl{}
}

func baselinePolicy(name string, strategy func() baseline.Strategy) Policy {
	return Policy{
		Name: name,
		NewRouter: func(string, string) Router {
			return baselineRouter{baseline.New(strategy())}
		},
		NewControl: newPlainControl,
	}
}

// Baselines returns the policies that the product is compared with.
func Baselines() []Policy {
	return []Policy{
		baselinePolicy("random", func() baseline.Strategy { return baseline.Random{} }),
		baselinePolicy("round_robin", func() baseline.Strategy { return &baseline.RoundRobin{} }),
		baselinePolicy("least_outstanding", func() baseline.Strategy { return baseline.LeastOutstanding{} }),
		baselinePolicy("two_choices", func() baseline.Strategy { return baseline.TwoChoices{} }),
		baselinePolicy("rating_rounds", func() baseline.Strategy { return baseline.RatingRounds{} }),
	}
}

// Routed returns a policy with the product's routing and PlainControl. The
// instance and data centre in config are set for each instance.
func Routed(name string, config routing.Config) Policy {
	return Policy{
		Name: name,
		NewRouter: func(instance, dataCentre string) Router {
			c := config
			c.Instance = instance
			c.LocalDataCentre = dataCentre
			return tableRouter{routing.New(c)}
		},
		NewControl: newPlainControl,
	}
}

// productConfig returns the product's routing configuration.
func productConfig() routing.Config {
	return routing.Config{}
}

// RoutingAblations returns the product's routing, whole and with one mechanism
// disabled or one parameter changed at a time.
func RoutingAblations() []Policy {
	return []Policy{
		Routed(RoutingPolicy, productConfig()),
		Routed("no_reports", routing.Config{Disabled: routing.MechanismReports}),
		Routed("no_age", routing.Config{Disabled: routing.MechanismAgeCorrection}),
		Routed("no_local", routing.Config{Disabled: routing.MechanismLocalFirst}),
		Routed("no_ejection", routing.Config{Disabled: routing.MechanismEjection}),
		Routed("no_latency", routing.Config{Disabled: routing.MechanismLatency}),
		Routed("no_slow_start", routing.Config{Disabled: routing.MechanismSlowStart}),
		Routed("no_affinity", routing.Config{Disabled: routing.MechanismAffinity}),
		Routed("no_suspicion", routing.Config{Disabled: routing.MechanismSuspicion}),
		Routed("no_spread", routing.Config{Disabled: routing.MechanismRetryElsewhere}),
		Routed("own_only", routing.Config{Disabled: routing.MechanismPeerDigest | routing.MechanismReports}),
		Routed("reports_only", routing.Config{Disabled: routing.MechanismPeerDigest}),
		Routed("reports_3s", routing.Config{Disabled: routing.MechanismPeerDigest, ReportTTL: 3 * time.Second}),
		Routed("cache_0.2", routing.Config{CacheWeight: 0.2}),
		Routed("cache_0.4", routing.Config{CacheWeight: 0.4}),
		Routed("cache_0.6", routing.Config{CacheWeight: 0.6}),
		Routed("cache_0.8", routing.Config{CacheWeight: 0.8}),
		Routed("choices_3", routing.Config{Choices: 3}),
		Routed("choices_all", routing.Config{Choices: 1000}),
	}
}

// The capacity of the gates as multiples of the slots. With a capacity equal to
// the slots, targets would be idle while digests and responses are under way.
// The factor of engines is larger, since they order their queue by priority.
const (
	engineOvercommit  = 2
	serviceOvercommit = 1.5
)

// ControlAblations returns the product's routing with its control, whole and
// with one part of the control or of the routing disabled or changed at a time.
func ControlAblations() []Policy {
	whole := ControlOptions{
		Admission: true, Gate: true, Hedge: true, Budget: true,
		EngineOvercommit: engineOvercommit, ServiceOvercommit: serviceOvercommit,
	}
	without := func(change func(*ControlOptions)) ControlOptions {
		options := whole
		change(&options)
		return options
	}
	gates := func(engines, services float64) ControlOptions {
		return without(func(p *ControlOptions) { p.EngineOvercommit, p.ServiceOvercommit = engines, services })
	}
	routed := func(name string, off routing.Mechanism) Policy {
		return Managed(name, whole, routing.Config{Disabled: off})
	}
	return []Policy{
		Managed(ManagedPolicy, whole, productConfig()),
		Managed("no_admission", without(func(p *ControlOptions) { p.Admission = false }), productConfig()),
		Managed("no_gate", without(func(p *ControlOptions) { p.Gate = false }), productConfig()),
		Managed("no_hedge", without(func(p *ControlOptions) { p.Hedge = false }), productConfig()),
		Managed("no_budget", without(func(p *ControlOptions) { p.Budget = false }), productConfig()),
		Managed("gate_1_1", gates(1, 1), productConfig()),
		Managed("gate_2_1", gates(2, 1), productConfig()),
		Managed("gate_2_2", gates(2, 2), productConfig()),
		Managed("gate_3_3", gates(3, 3), productConfig()),
		routed("managed_no_digest", routing.MechanismPeerDigest),
		routed("managed_no_reports", routing.MechanismReports),
		routed("managed_no_local", routing.MechanismLocalFirst),
		routed("managed_no_ejection", routing.MechanismEjection),
		routed("managed_no_latency", routing.MechanismLatency),
		routed("managed_no_slow_start", routing.MechanismSlowStart),
		routed("managed_no_affinity", routing.MechanismAffinity),
		routed("managed_no_suspicion", routing.MechanismSuspicion),
		routed("managed_no_spread", routing.MechanismRetryElsewhere),
	}
}

// Names of the product's policies: RoutingPolicy is its routing with
// PlainControl, ManagedPolicy adds admission, gates, hedges and retry budgets.
const (
	RoutingPolicy = "routing"
	ManagedPolicy = "managed"
)

// Policies returns all policies.
func Policies() []Policy {
	all := append(Baselines(), RoutingAblations()...)
	all = append(all, ControlAblations()...)
	return append(all, Oracle())
}
