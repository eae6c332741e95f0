package target

import (
	"net/http"
	"time"
)

const kvFetchTimeout = 5 * time.Second

// Target is one emulated target. It is safe for concurrent use.
type Target struct {
	options Options
	faults  *faultSet
}

// New returns a target that serves nothing until its Handler is mounted.
func New(options Options) *Target {
	options = options.withDefaults()
	return &Target{options: options, faults: newFaultSet(options.Seed)}
}

// Handler serves the interface of package targetapi and the paths of /admin.
func (t *Target) Handler() http.Handler {
	return http.NotFoundHandler()
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(faults ...Fault) {
	t.faults.set(faults)
}

// SetLeaving makes the target announce that it shuts down. It goes on serving.
func (t *Target) SetLeaving(leaving bool) {
}

// Runs tells how often work was started for each request id.
func (t *Target) Runs() map[string]int {
	return nil
}

// Close ends every call and connection that the target still holds.
func (t *Target) Close() {
}
