// Package experiment measures policies under load and faults: a seeded,
// open-loop load runs in virtual time against small fakes of the targets at
// their interface. There is no network and no store: a message is a delay, and
// a store that is down is a list that stays as it was.
//
// Latency counts from the intended arrival of a request, so that a stalled
// instance can't hide its delay (coordinated omission). The same seed gives
// every policy the same arrivals, sizes and faults.
package experiment
