// Package scenario gives scripted scenarios their verbs: it starts the daemon
// and the stand-ins as processes of their own, harms them, and talks to them as
// callers and operators do. README.md beside this file lists the verbs, which
// are kept few and small. A script waits for events, never for a time.
package scenario
