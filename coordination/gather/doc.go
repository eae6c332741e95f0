// Package gather batches the pieces of many requests' stages into calls to stage targets.
//
// A stage target runs one call at a time; a call costs a fixed time whatever it holds, and
// each piece adds little. If each instance called the targets on its own, it would find
// them full and send nearly empty calls. So one instance holds the queue of a group of
// targets. The queue is only a hint: two holders at once cost refused calls, a failed
// holder costs its queue, and a piece may run more than once.
//
// Planner is a pure state machine: time and events are arguments and actions are returned.
// It is not safe for concurrent use.
package gather
