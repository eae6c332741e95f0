// Package scenario implements the verbs of scripted scenarios: it starts the daemon and the
// emulators as separate processes, injects faults, and sends requests as callers and operators
// do. README.md in this folder lists the verbs, which are kept few and small. A script waits
// for events, never for a time.
package scenario
