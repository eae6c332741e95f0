package execute

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/admission"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// admissionKey identifies a controller, which decides on the requests of one pipeline and
// tier.
type admissionKey struct {
	pipeline catalog.PipelineKey
	tier     string
}

// maxControllers limits the number of controllers. When it is reached, all are dropped, so
// that controllers of removed definitions don't accumulate.
const maxControllers = 4096

// admissionControllers holds the admission controllers of one instance.
type admissionControllers struct {
	mu    sync.RWMutex
	byKey map[admissionKey]*lockedController
}

// lockedController is a controller with its lock and random source.
type lockedController struct {
	mu    sync.Mutex
	inner *admission.Controller
	rng   *rand.Rand
}

func newAdmissionControllers() *admissionControllers {
	return &admissionControllers{byKey: make(map[admissionKey]*lockedController)}
}

func (a *admissionControllers) decide(now time.Time, job *Job, stages []deadline.RemainingStage) admission.Decision {
	c := a.get(admissionKey{pipeline: job.Pipeline.Key, tier: job.Tier.Name})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inner.Decide(now, job.Deadline, stages, c.rng)
}

// probeEnded records whether a probe, a job that was admitted to measure its stages again,
// met its deadline.
func (a *admissionControllers) probeEnded(job *Job, metDeadline bool) {
	c := a.get(admissionKey{pipeline: job.Pipeline.Key, tier: job.Tier.Name})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inner.ProbeEnded(metDeadline)
}

// get returns the controller of a key; it creates a missing one.
func (a *admissionControllers) get(key admissionKey) *lockedController {
	a.mu.RLock()
	c, ok := a.byKey[key]
	a.mu.RUnlock()
	if ok {
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.byKey[key]; ok {
		return c
	}
	if len(a.byKey) >= maxControllers {
		clear(a.byKey)
	}
	c = &lockedController{inner: admission.New(admission.Config{}), rng: newRand()}
	a.byKey[key] = c
	return c
}
