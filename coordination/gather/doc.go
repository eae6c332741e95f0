// Package gather decides which pieces of which requests go into which call to a
// stage target.
//
// The load it answers: a stage target takes one call at a time, a call costs a
// fixed time whatever it holds, and each piece adds little. Seven instances that
// each call on their own meet full targets and send calls that are nearly empty:
// measured at 50 requests a second, 4,162 of 6,012 calls were refused and an
// eighth of the credit was earned of what one queue for all instances earns.
// So one instance holds the queue of a group of targets. The queue is only a
// hint: two holders at once cost refused calls, a lost holder costs its queue,
// and a piece may be made again.
//
// Planner is a pure state machine: time and events are arguments and actions are
// returned. It is not safe for concurrent use.
package gather
