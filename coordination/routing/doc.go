// Package routing chooses the target of a stage from what one instance knows:
// its own requests in flight, its peers' digests and the targets' late reports.
//
// The package is pure: time and randomness are arguments. Updates (SetTargets,
// Leaving, PeerDigest) are serialised and publish an immutable view through an
// atomic pointer; Pick, Started and Done read that view and touch only the
// atomics of single targets, so the request path takes no shared lock.
//
// The choice itself is the power of two choices (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", IEEE TPDS 2001), with affinity
// bounded by load (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
// with Bounded Loads", SODA 2018) and subsets by rendezvous hashing (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN
// 1998).
package routing
