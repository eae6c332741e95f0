package retry_test

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
)

// A new budget allows two retries; after that, ten successes add one.
func ExampleBudget() {
	now := time.Unix(0, 0)
	budget := retry.NewBudget(retry.Config{})
	fmt.Println(budget.SpendRetry(now), budget.SpendRetry(now), budget.SpendRetry(now))
	for range 11 {
		budget.AddSuccess(now)
	}
	fmt.Println(budget.SpendRetry(now), budget.SpendRetry(now))
	// Output:
	// true true false
	// true false
}
