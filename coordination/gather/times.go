package gather

import "time"

// The durations of calls are learned from their ends by normalised least mean squares (B.
// Widrow and M. Hoff, "Adaptive Switching Circuits", IRE WESCON 1960): the error of a call
// is attributed to its fixed time and to the pieces of each kind in proportion to what each
// is expected to add. Attributed to the pieces alone, the few milliseconds of latency to a
// target made the pieces of small calls count three times their actual time; the next burst
// was then refused as too long while targets were idle.
const (
	// learningRate is the fraction of a call's error that is learned at once. Some ten
	// calls, two seconds of one target, absorb most of it.
	learningRate = 0.2
	// Bounds of the learned factors, as multiples of the configured times: one call that
	// coincided with a pause must not stop the service's admission.
	minCallFactor, maxCallFactor   = 0.5, 2.0
	minPieceFactor, maxPieceFactor = 0.1, 4.0
)

// callTimes holds the learned times of calls to a service, as multiples of the configured
// ones.
type callTimes struct {
	callFactor   float64
	pieceFactors map[pieceKind]*float64
}

// pieceKind is a stage of a kind of request, whose pieces take about the same time.
type pieceKind struct {
	route string
	stage int
}

func newCallTimes() callTimes {
	return callTimes{callFactor: 1, pieceFactors: map[pieceKind]*float64{}}
}

// pieceFactor returns the factor for pieces of a kind. The pointer is shared and reflects
// what is learned from later calls.
func (t *callTimes) pieceFactor(k pieceKind) *float64 {
	factor := t.pieceFactors[k]
	if factor == nil {
		if len(t.pieceFactors) >= maxKinds {
			clear(t.pieceFactors)
		}
		initial := 1.0
		factor = &initial
		t.pieceFactors[k] = factor
	}
	return factor
}

// learnTimes updates the learned times with the duration of the call.
func (c *call) learnTimes(elapsed time.Duration) {
	s := c.target.service
	fixed := s.config.CallTime.Seconds()
	added := map[*float64]float64{}
	for _, ref := range c.pieces {
		added[ref.stage.timeFactor] += s.config.PieceTime.Seconds()
	}
	expected, norm := s.times.callFactor*fixed, fixed*fixed
	for factor, seconds := range added {
		expected += *factor * seconds
		norm += seconds * seconds
	}
	if norm == 0 {
		return
	}
	step := learningRate * (elapsed.Seconds() - expected) / norm
	s.times.callFactor = min(max(s.times.callFactor+step*fixed, minCallFactor), maxCallFactor)
	for factor, seconds := range added {
		*factor = min(max(*factor+step*seconds, minPieceFactor), maxPieceFactor)
	}
}

// callTime returns the learned fixed time of a call.
func (s *service) callTime() time.Duration {
	return time.Duration(s.times.callFactor * float64(s.config.CallTime))
}

// pieceTime returns what one piece of the stage adds to a call.
func (s *heldStage) pieceTime() time.Duration {
	return time.Duration(*s.timeFactor * float64(s.service.config.PieceTime))
}

// expected returns the duration of a call at a target of usual speed, given what its pieces
// add.
func (s *service) expected(pieceTime time.Duration) time.Duration {
	return s.callTime() + pieceTime
}
