// Package routing chooses the target of a stage from what one instance knows:
// its own requests in flight, its peers' digests and the targets' load reports,
// which arrive with a delay.
//
// The package reads no clock and has no random source of its own: both are
// arguments. Updates of lists, leaving targets and digests (SetTargets, Leaving,
// PeerDigest, Digest) are serialised; SetTargets and Leaving publish an immutable
// view through an atomic pointer. Pick, Started and Done read that view and change
// only the atomics of single targets, so the request path takes no shared lock. With
// Config.CostPlacement each target has an account of its work under a lock of its own.
//
// Pick uses the power of two choices (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", IEEE TPDS 2001) on the estimated load from all
// instances. A prompt goes to the target where it is expected to finish first,
// with cached parts taken into account. Subsets come from rendezvous hashing
// (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM ToN 1998). docs/design/routing.md lists the alternatives considered
// and their measurements.
package routing
