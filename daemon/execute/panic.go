package execute

import (
	"fmt"
	"runtime/debug"

	"github.com/ivyhollow/ivyhollow/telemetry"
)

// recoverPanic turns a panic of the stage into its failure. It is deferred at the start of the
// stage's goroutine.
//
// Without it, a panic outside an attempt would end the process, since net/http recovers only
// on its own goroutines. All callers of the instance would lose their requests, and when the
// request is retried elsewhere, so would the callers of the next instance. Recovered, the panic
// fails this request alone. What the stage has done is not known then, so an attempt that
// never settles is recorded in the ledgers: it prevents the verdict "not run".
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

// recoverPanic turns a panic of the attempt into a result with an unknown outcome. It is
// needed in addition to the stage's because a hedged attempt has its own goroutine. An attempt
// that was not settled remains open in the ledgers, which results in the same verdict.
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
