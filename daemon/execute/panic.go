package execute

import (
	"fmt"
	"runtime/debug"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// contain makes a panic of the stage its failure; deferred where the stage's
// goroutine begins.
//
// The failure: a fault in one request's stage panics outside an attempt, on a
// goroutine that net/http does not guard, and ends the process: every caller of
// the instance loses their request, and as the request is tried again elsewhere,
// those of the next instance too. Contained, it fails this request alone. What
// the stage had done is not known then, so an attempt that never settles is
// entered in the ledgers: it keeps "not run" from being said.
func (s *stageRun) recoverPanic(err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	s.ledger.Dispatch()
	s.nonRepeatable.Dispatch()
	panicked := fmt.Errorf("stage %s panicked: %v", s.stage.Name, cause)
	s.logPanic(panicked, "")
	*err = s.newFailure(ReasonFault, "", panicked)
}

// contain makes a panic of the attempt its failure with an outcome unknown; it
// is deferred because a hedged attempt has a goroutine of its own. An attempt
// that had not settled stays open in the ledgers, which is the same verdict.
func (a *attempt) recoverPanic(result *attemptResult) {
	cause := recover()
	if cause == nil {
		return
	}
	peer := a.choice.Target.Address
	err := fmt.Errorf("attempt %s at %s panicked: %v", a.id, peer, cause)
	a.logPanic(err, peer)
	*result = unknownResult(peer, err)
}

func (s *stageRun) logPanic(err error, peer string) {
	telemetry.ErrorS(err, string(debug.Stack()), telemetry.Event{RequestID: s.job.ID, Stage: s.stage.Name, Target: peer})
}
