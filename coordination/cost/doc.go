// Package cost predicts what a request costs at a target, from what earlier requests cost.
//
// Times are split into reading the uncached prompt, which grows with its tokens, and the rest,
// whose distribution is kept by kind (route), account and the caller's estimate. The distribution
// of what requests with similar estimates took replaces the estimate itself, so that a wrong
// estimate is corrected by what is observed. Distributions matter because durations of one kind
// scatter by a factor of four and more: a request that has run for long is expected to run longer.
//
// The package reads no clock. A Model is bounded and safe for concurrent use.
package cost
