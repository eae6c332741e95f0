package experiment

import (
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/routing/baseline"
)

func plainControl(*Shape) Control {
	return Plain{}
}

func baselinePolicy(name string, strategy func() baseline.Strategy) Policy {
	return Policy{
		Name: name,
		NewRouter: func(string, string) Router {
			return baselineRouter{baseline.New(strategy())}
		},
		NewControl: plainControl,
	}
}

// Baselines returns the policies that ours is measured against.
func Baselines() []Policy {
	return []Policy{
		baselinePolicy("random", func() baseline.Strategy { return baseline.Random{} }),
		baselinePolicy("round_robin", func() baseline.Strategy { return &baseline.RoundRobin{} }),
		baselinePolicy("least_outstanding", func() baseline.Strategy { return baseline.LeastOutstanding{} }),
		baselinePolicy("two_choices", func() baseline.Strategy { return baseline.TwoChoices{} }),
		baselinePolicy("rating_rounds", func() baseline.Strategy { return baseline.Rounds{} }),
	}
}

// Routed returns the product's routing with the plain control. The config's
// instance and data centre are set for each instance.
func Routed(name string, config routing.Config) Policy {
	return Policy{
		Name: name,
		NewRouter: func(instance, dataCentre string) Router {
			c := config
			c.Instance = instance
			c.LocalDataCentre = dataCentre
			return tableRouter{routing.New(c)}
		},
		NewControl: plainControl,
	}
}

// ourConfig is the routing configuration of the product.
func ourConfig() routing.Config {
	return routing.Config{}
}

// Ablations returns the product's routing with one mechanism off at a time.
func Ablations() []Policy {
	return []Policy{
		Routed(OurPolicy, ourConfig()),
		Routed("no_digest", routing.Config{Off: routing.MechanismPeerDigest}),
		Routed("no_reports", routing.Config{Off: routing.MechanismReports}),
		Routed("no_age", routing.Config{Off: routing.MechanismAgeCorrection}),
		Routed("no_local", routing.Config{Off: routing.MechanismLocalFirst}),
		Routed("no_ejection", routing.Config{Off: routing.MechanismEjection}),
		Routed("no_latency", routing.Config{Off: routing.MechanismLatency}),
		Routed("no_slow_start", routing.Config{Off: routing.MechanismSlowStart}),
		Routed("no_affinity", routing.Config{Off: routing.MechanismAffinity}),
		Routed("no_home", routing.Config{Off: routing.MechanismHome}),
		Routed("no_suspicion", routing.Config{Off: routing.MechanismSuspicion}),
		Routed("choices_3", routing.Config{Choices: 3}),
		Routed("choices_all", routing.Config{Choices: 1000}),
	}
}

// OurPolicy names the product's choice.
const OurPolicy = "routing"

// Policies returns every policy by its name.
func Policies() []Policy {
	return append(Baselines(), Ablations()...)
}
