// Package placing chooses the engine of each request where all requests of a fleet are
// known: at the instance that holds the queue of their stages.
//
// The load it answers: engines that serve a few dozen requests a second together and
// are idle most of the time, yet let answers come late. Homes by hash alone put the
// prompts of a burst on few engines. And a home knows nothing of the data centre where a
// request's large inputs are made.
//
// Table is a pure state machine: the time is an argument. It is not safe for concurrent
// use.
package placing
