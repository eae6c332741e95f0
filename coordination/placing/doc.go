// Package placing assigns requests to engines. It runs at the instance that holds the
// stage queue, since that instance knows all requests of the fleet.
//
// It serves engines that together handle a few dozen requests a second and are idle most
// of the time, yet produce late responses: assignment by hash alone puts the prompts of a
// burst on few engines, and takes no account of the data centre where a request's large
// inputs are produced.
//
// Table is a pure state machine: the time is an argument. It is not safe for concurrent
// use.
package placing
