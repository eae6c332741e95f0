// Package routing chooses the target of a stage from what one instance knows:
// its own requests in flight, its peers' digests and the targets' late reports.
//
// The package is pure: time and randomness are arguments. Updates (SetTargets,
// Leaving, PeerDigest) are serialised and publish an immutable view through an
// atomic pointer; Pick, Started and Done read that view and touch only the
// atomics of single targets, so the request path takes no shared lock.
//
// The choice itself is the power of two choices (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", IEEE TPDS 2001) on the estimated
// load of all instances; a prompt goes to the target where it would end first,
// cached parts counted. Subsets come from rendezvous hashing (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN
// 1998). docs/design/routing.md gives the ways weighed and their figures.
package routing
