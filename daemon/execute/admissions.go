package execute

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/admission"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// admissionKey names one controller: requests of one pipeline and tier.
type admissionKey struct {
	pipeline catalog.PipelineKey
	tier     string
}

// maxControllers bounds the controllers kept; definitions that are gone make
// room when it is reached.
const maxControllers = 4096

// admissions holds the controllers of one instance, each under its own lock.
type admissions struct {
	mu          sync.RWMutex
	controllers map[admissionKey]*controller
}

type controller struct {
	mu  sync.Mutex
	own *admission.Controller
	rng *rand.Rand
}

func newAdmissions() *admissions {
	return &admissions{controllers: make(map[admissionKey]*controller)}
}

func (a *admissions) decide(now time.Time, job *Job, stages []deadline.RemainingStage) admission.Decision {
	c := a.controller(admissionKey{pipeline: job.Pipeline.Key, tier: job.Tier.Name})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own.Decide(now, job.Deadline, stages, c.rng)
}

// probed tells how a job that was admitted as a probe ended.
func (a *admissions) probed(job *Job, made bool) {
	c := a.controller(admissionKey{pipeline: job.Pipeline.Key, tier: job.Tier.Name})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.ProbeEnded(made)
}

func (a *admissions) controller(key admissionKey) *controller {
	a.mu.RLock()
	c, ok := a.controllers[key]
	a.mu.RUnlock()
	if ok {
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.controllers[key]; ok {
		return c
	}
	if len(a.controllers) >= maxControllers {
		clear(a.controllers)
	}
	c = &controller{own: admission.New(admission.Config{}), rng: newRand()}
	a.controllers[key] = c
	return c
}
