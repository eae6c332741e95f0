package routes

import (
	"strconv"
	"time"
)

// Target is one incarnation of a process that runs requests or pieces of a
// service.
type Target struct {
	// Name is what the platform calls the process, and what the process answers to.
	// A process that starts again may keep it.
	Name string
	// Started is when the process started by its own word, in Unix milliseconds; 0
	// if it doesn't say. Of two starts under one name the later has the larger.
	StartedMillis int64
	Service       string
	Address       string
	DataCentre    string
	Slots         int
	// Leaving targets finish what they have and take nothing new.
	Leaving bool
	// ColdFor is how much longer the target stays slow after its start.
	WarmupRemaining time.Duration
}

// incarnationMark stands between a name and a start.
const incarnationSeparator = "@"

// Incarnation identifies one start of the process: what was learned of one start,
// such as its health or what it holds, says nothing of the next. It is the same at
// all instances. Without a start it is the name alone.
func (t Target) Incarnation() string {
	if t.StartedMillis == 0 {
		return t.Name
	}
	return t.Name + incarnationSeparator + strconv.FormatInt(t.StartedMillis, 10)
}
