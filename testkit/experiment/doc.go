// Package experiment compares routing and admission policies under load and
// faults. It simulates a seeded, open-loop workload in virtual time against
// in-memory models of the targets. There is no network and no store: a message
// is a delay, and a store outage means that the list of targets isn't updated.
//
// Latency counts from the intended arrival of a request, so that a stalled
// instance can't hide its delay (coordinated omission). The same seed gives
// every policy the same arrivals, sizes and faults.
package experiment
