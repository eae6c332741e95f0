package placing

const (
	// runningScale is the number of running requests at which a prediction error is split evenly
	// between the fixed time of a step and the time for those that run.
	runningScale = 32.0
	// minStepEvents is the number of events from which on a stream shows the time of a step.
	minStepEvents = 8
	// Limits of the time of a step at an engine that runs one request, in seconds.
	minStep, maxStep = 1e-4, 1.0
	// maxStepSlope limits the share by which one more running request lengthens a step: at 64 of
	// them it is seven times as long, more than any engine needs.
	maxStepSlope = 0.1
)

// stepModel predicts how much longer the steps of an engine of usual speed take the more requests run.
// Fixed and perRunning are in seconds. The zero value has no observation.
type stepModel struct{ fixed, perRunning float64 }

// slope returns the share by which each running request lengthens a step.
func (m *stepModel) slope() float64 {
	if m.fixed == 0 {
		return 0
	}
	return m.perRunning / m.fixed
}

// factor returns how much longer than alone a request takes with so many others.
func (m *stepModel) factor(others float64) float64 { return 1 + m.slope()*others }

// update adjusts the model to the observed time of a step, in seconds, with so many other requests.
func (m *stepModel) update(others, observed float64) {
	if m.fixed == 0 {
		m.fixed = clamp(observed, minStep, maxStep)
		return
	}
	x := others / runningScale
	step := learningRate * (observed - m.fixed - others*m.perRunning) / (1 + x*x)
	m.fixed = clamp(m.fixed+step, minStep, maxStep)
	m.perRunning = clamp(m.perRunning+step*x/runningScale, 0, maxStepSlope*m.fixed)
}
