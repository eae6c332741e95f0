package routes

import "time"

// Target is one incarnation of a process that runs requests or pieces of a
// service.
type Target struct {
	// Incarnation identifies one start of the process.
	Incarnation string
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	// Leaving targets finish what they have and take nothing new.
	Leaving bool
	// ColdFor is how much longer the target stays slow after its start.
	ColdFor time.Duration
}
