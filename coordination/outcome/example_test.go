package outcome_test

import (
	"fmt"

	"github.com/ivyhollow/ivyhollow/coordination/outcome"
)

// A first attempt is refused by its target, a second one gets no answer before
// the deadline: the request may have run.
func ExampleLedger() {
	var ledger outcome.Ledger
	if ledger.Dispatch() {
		ledger.Settle(outcome.NotRun)
	}
	ledger.Dispatch() // its answer is lost
	fmt.Println(ledger.Seal() == outcome.Unknown)
	fmt.Println(ledger.Dispatch()) // too late for a hedge
	// Output:
	// true
	// false
}
