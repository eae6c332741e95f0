package outcome_test

import (
	"fmt"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
)

// The target refuses the first attempt. The second one gets no response before the deadline, so
// the request may have run.
func ExampleLedger() {
	var ledger outcome.Ledger
	if ledger.Dispatch() {
		ledger.Settle(outcome.NotRun)
	}
	ledger.Dispatch() // its response is lost
	fmt.Println(ledger.Seal() == outcome.Unknown)
	fmt.Println(ledger.Dispatch()) // too late for a hedge
	// Output:
	// true
	// false
}
