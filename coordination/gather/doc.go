// Package gather decides which pieces of which requests go into which call to a
// stage target.
//
// The load it answers: a stage target takes one call at a time, a call costs a
// fixed time whatever it holds, and each piece adds little. Instances that each call
// on their own meet full targets and send calls that are nearly empty. So one
// instance holds the queue of a group of targets. The queue is only a
// hint: two holders at once cost refused calls, a lost holder costs its queue,
// and a piece may be made again.
//
// Planner is a pure state machine: time and events are arguments and actions are
// returned. It is not safe for concurrent use.
package gather
