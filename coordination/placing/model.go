package placing

import (
	"math"
	"time"
)

// The time to the first event is learned by normalised least mean squares, as the
// times of stage calls are (package gather): a fixed part and one for each token that
// is read.
const (
	// usualFixed and usualToken are assumed before the first observation, in seconds;
	// some twenty requests replace them.
	initialFixed    = 0.030
	initialPerToken = 25e-6
	// learnRate is the part of an error that is learned at once.
	learningRate = 0.1
	// tokenScale makes the error of a prompt of a thousand tokens fall to its tokens
	// and to the fixed part alike, in tokens.
	tokenScale = 1000.0
	// Bounds of what is learned, in seconds: a pause of an engine must not turn all
	// predictions.
	minFixed, maxFixed       = 0.002, 0.5
	minPerToken, maxPerToken = 1e-6, 1e-3
	// slowShare is the share of a new sample in an engine's slowness: five requests
	// tell of one that turned slow.
	slowdownGain = 0.2
	// Bounds of an engine's slowness.
	minSlowdown, maxSlowdown = 0.5, 10.0
)

// model predicts the time to the first event at an idle engine of usual speed.
type firstEventModel struct {
	// fixed and token are in seconds.
	fixed, perToken float64
}

func newFirstEventModel() firstEventModel {
	return firstEventModel{fixed: initialFixed, perToken: initialPerToken}
}

func (m *firstEventModel) seconds(unread int) float64 { return m.fixed + float64(unread)*m.perToken }

// learn takes in an observation.
func (m *firstEventModel) update(unread int, taken float64) {
	x := float64(unread) / tokenScale
	step := learningRate * (taken - m.seconds(unread)) / (1 + x*x)
	m.fixed = clamp(m.fixed+step, minFixed, maxFixed)
	m.perToken = clamp(m.perToken+step*x/tokenScale, minPerToken, maxPerToken)
}

func clamp(v, least, most float64) float64 { return math.Min(math.Max(v, least), most) }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
