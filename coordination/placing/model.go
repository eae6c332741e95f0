package placing

import (
	"math"
	"time"
)

// The time to the first event is a fixed time and a time for each uncached token. Both are
// learned by normalised least mean squares, as the times of stage calls are (package gather).
const (
	// initialFixed and initialPerToken apply before the first observation, in seconds. Some
	// twenty requests replace them.
	initialFixed    = 0.030
	initialPerToken = 25e-6
	// learningRate is the share of a prediction error that one update corrects.
	learningRate = 0.1
	// tokenScale is the length of a prompt, in tokens, whose prediction error is split evenly
	// between the fixed time and the time for its tokens.
	tokenScale = 1000.0
	// Limits of the learned times, in seconds. They keep one pause of an engine from
	// distorting all predictions.
	minFixed, maxFixed       = 0.002, 0.5
	minPerToken, maxPerToken = 1e-6, 1e-3
	// slowdownGain is the weight of a new sample in an engine's slowdown: five requests reveal
	// an engine that has become slow.
	slowdownGain = 0.2
	// Limits of an engine's slowdown.
	minSlowdown, maxSlowdown = 0.5, 10.0
)

// firstEventModel predicts the time to the first event at an idle engine of usual speed.
type firstEventModel struct {
	// fixed and perToken are in seconds.
	fixed, perToken float64
}

func newFirstEventModel() firstEventModel {
	return firstEventModel{fixed: initialFixed, perToken: initialPerToken}
}

func (m *firstEventModel) seconds(uncached int) float64 {
	return m.fixed + float64(uncached)*m.perToken
}

// update adjusts the model to an observation.
func (m *firstEventModel) update(uncached int, observed float64) {
	x := float64(uncached) / tokenScale
	step := learningRate * (observed - m.seconds(uncached)) / (1 + x*x)
	m.fixed = clamp(m.fixed+step, minFixed, maxFixed)
	m.perToken = clamp(m.perToken+step*x/tokenScale, minPerToken, maxPerToken)
}

func clamp(v, low, high float64) float64 { return math.Min(math.Max(v, low), high) }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
