package experiment

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/coordination/routing/baseline"
)

// Config is the configuration of one run.
type Config struct {
	Shape Shape
	// Load is the offered load as a share of the nominal capacity.
	Load   float64
	Fault  Fault
	Seed   uint64
	Length time.Duration
	Policy Policy
	// AgeKnown gives routers the true age of load reports. The interface of the
	// targets doesn't transmit it, so by default routers assume reportAge.
	AgeKnown bool
}

// Policy is a named combination of a router and a control. NewRouter and
// NewControl create one of each for every instance.
type Policy struct {
	Name       string
	NewRouter  func(instance, dataCentre string) Router
	NewControl func(s *Shape) Control
}

// Parameters of the load polls, digests and cache events, and of the pools.
const (
	digestInterval = 200 * time.Millisecond
	pollInterval   = 500 * time.Millisecond
	cacheInterval  = time.Second
	cacheDelay     = 500 * time.Millisecond
	cacheLossShare = 0.1
	ejectionFloor  = 0.5
)

// run is the state of one run.
type run struct {
	config           Config
	clock            *clock
	window           window
	targets          []*target
	pools            map[string][]*target
	byName           map[string]*target
	instances        []*instance
	failedDataCentre string
	records          []*requestRecord
}

func instanceName(i int) string {
	return fmt.Sprintf("instance-%d", i)
}

func dataCentre(i int) string {
	return fmt.Sprintf("dc-%d", i%DataCentres)
}

// Run executes one configuration and returns its result.
func Run(config Config) *Result {
	r := newRun(config)
	r.execute()
	return r.measure()
}

func newRun(config Config) *run {
	r := &run{
		config: config,
		clock:  &clock{},
		window: faultWindow(config.Length),
		pools:  map[string][]*target{},
		byName: map[string]*target{},
	}
	r.addTargets()
	r.addInstances()
	r.publishTargets()
	r.inject(r.window)
	r.scheduleBackground()
	r.scheduleRequests()
	return r
}

// drainTime is the simulated time after the arrivals end. It is longer than the longest
// deadline, so that every request ends.
const drainTime = 10 * time.Second

func (r *run) execute() {
	r.clock.runUntil(r.config.Length + drainTime)
}

func (r *run) addTargets() {
	for s := range r.config.Shape.Stages {
		stage := &r.config.Shape.Stages[s]
		for i := range stage.Targets {
			name := fmt.Sprintf("%s-%d", stage.Pool, i)
			spec := routing.Target{
				Incarnation: name,
				Pool:        stage.Pool,
				Address:     name,
				DataCentre:  dataCentre(i),
				Slots:       stage.Slots,
			}
			r.pools[stage.Pool] = append(r.pools[stage.Pool], r.addTarget(spec, stage))
		}
	}
}

func (r *run) addTarget(spec routing.Target, stage *StageShape) *target {
	t := newTarget(r.clock, spec, stage, len(r.config.Shape.Tiers))
	t.cachedElsewhere = r.cachedOnAnyEngine
	r.targets = append(r.targets, t)
	r.byName[spec.Incarnation] = t
	return t
}

func (r *run) cachedOnAnyEngine(part string) bool {
	for _, t := range r.pools[enginePool] {
		if !t.down && t.cache.has(part) {
			return true
		}
	}
	return false
}

func (r *run) addInstances() {
	for i := range Instances {
		router := r.config.Policy.NewRouter(instanceName(i), dataCentre(i))
		if o, ok := router.(*oracleRouter); ok {
			*o = oracleRouter{baselineRouter{baseline.New(baseline.Random{})}, r, map[string][]*target{}}
		}
		r.instances = append(r.instances, &instance{
			run:        r,
			name:       instanceName(i),
			dataCentre: dataCentre(i),
			router:     router,
			control:    r.config.Policy.NewControl(&r.config.Shape),
			rng:        newRand(r.config.Seed, uint64(100+i)),
			latencies:  newLatencyEstimator(len(r.config.Shape.Stages)),
		})
	}
}

// publishTargets gives every instance the platform's current list of targets.
func (r *run) publishTargets() {
	for _, stage := range r.config.Shape.Stages {
		pool := routing.Pool{Name: stage.Pool, Objective: r.config.Shape.Objective, EjectionFloor: ejectionFloor}
		var list []routing.Target
		for _, t := range r.pools[stage.Pool] {
			if !t.down {
				list = append(list, t.spec)
			}
		}
		for _, i := range r.instances {
			i.router.SetTargets(r.clock.time(), pool, list)
		}
	}
}

// scheduleBackground schedules load samples, load polls, digests and cache events.
func (r *run) scheduleBackground() {
	for _, t := range r.targets {
		r.clock.every(0, loadSampleInterval, t.sampleLoad)
	}
	for n, i := range r.instances {
		offset := time.Duration(n) * time.Millisecond
		r.clock.every(offset, digestInterval, func() { r.sendRoutingDigest(i) })
		r.clock.every(offset, pollInterval, func() { r.pollTargets(i) })
	}
	loss := newRand(r.config.Seed, 2)
	gaps := make([]bool, len(r.pools[enginePool])*Instances)
	for n := range r.pools[enginePool] {
		r.clock.every(cacheInterval, cacheInterval, func() {
			t := r.pools[enginePool][n]
			if t.down {
				return
			}
			added, removed := t.cache.publish()
			for k, i := range r.instances {
				gap := &gaps[n*Instances+k]
				if loss.Float64() < cacheLossShare {
					*gap = true
					continue
				}
				update := routing.CacheUpdate{Epoch: 1, Gap: *gap, Added: added, Removed: removed}
				*gap = false
				r.clock.after(cacheDelay, func() { i.router.CacheEvent(r.clock.time(), t.spec.Incarnation, update) })
			}
		})
	}
}

func (r *run) sendRoutingDigest(from *instance) {
	if from.failed {
		return
	}
	entries := from.router.Digest(r.clock.time())
	for _, to := range r.instances {
		if to == from || to.failed {
			continue
		}
		r.clock.after(remoteDelay, func() { to.router.PeerDigest(r.clock.time(), from.name, entries) })
	}
	if control, ok := from.control.(Gossiper); ok {
		r.sendControlDigest(from, control)
	}
}

func (r *run) sendControlDigest(from *instance, control Gossiper) {
	slots := map[string]int{}
	for _, stage := range r.config.Shape.Stages {
		slots[stage.Pool] = from.router.Slots(r.clock.time(), stage.Pool)
	}
	digest := control.Digest(r.clock.time(), slots)
	for _, to := range r.instances {
		if to == from || to.failed {
			continue
		}
		r.clock.after(remoteDelay, func() {
			to.control.(Gossiper).PeerDigest(r.clock.time(), from.name, digest)
		})
	}
}

func (r *run) pollTargets(i *instance) {
	if i.failed {
		return
	}
	for _, t := range r.targets {
		i.applyLoadReport(t)
	}
}

// scheduleRequests schedules the arrivals of the workload.
func (r *run) scheduleRequests() {
	rateFactor := r.config.Fault.rateFactor(r.window)
	shape := &r.config.Shape
	for _, request := range generateRequests(shape, r.config.Load, r.config.Length, r.config.Seed, rateFactor) {
		rec := &requestRecord{request: request}
		r.records = append(r.records, rec)
		r.clock.at(request.IntendedAt+shape.ClientDelay, func() { r.pickInstance(request).accept(request, rec) })
	}
}

// pickInstance models the platform's balancer in front of the instances. It
// returns the instance of the request, or the next one that is running.
func (r *run) pickInstance(request *Request) *instance {
	for k := range r.instances {
		i := r.instances[(request.Instance+k)%len(r.instances)]
		if !i.failed {
			return i
		}
	}
	return r.instances[request.Instance]
}
