package retry_test

import (
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
)

// A new budget pays for two retries; after that, ten answers earn one.
func ExampleBudget() {
	now := time.Unix(0, 0)
	budget := retry.NewBudget(retry.Config{})
	fmt.Println(budget.TakeRetry(now), budget.TakeRetry(now), budget.TakeRetry(now))
	for range 11 {
		budget.Succeeded(now)
	}
	fmt.Println(budget.TakeRetry(now), budget.TakeRetry(now))
	// Output:
	// true true false
	// true false
}
