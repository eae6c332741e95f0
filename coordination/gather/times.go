package gather

import "time"

// The times that calls take are learned from their ends, by normalised least mean
// squares (B. Widrow and M. Hoff, "Adaptive Switching Circuits", IRE WESCON 1960):
// the error of a call is put down to its fixed time and to the pieces of each kind
// in proportion to what each is expected to add. Put down to the pieces alone, the
// few milliseconds that the way to a target costs made the pieces of small calls
// count three times what they take; the next burst was then refused as too long
// while targets were idle.
const (
	// learnRate is the part of a call's error that is learned at once. Some ten
	// calls, two seconds of one target, take most of it in.
	learningRate = 0.2
	// Bounds of what is learned, as multiples of the configured times: one call
	// that met a pause must not stop the service's admission.
	minCallFactor, maxCallFactor   = 0.5, 2.0
	minPieceFactor, maxPieceFactor = 0.1, 4.0
)

// callTimes is how long calls to a service take, as multiples of what is
// configured.
type callTimes struct {
	callFactor   float64
	pieceFactors map[pieceKind]*float64
}

// pieceKind is a stage of a kind of request: its pieces take alike time.
type pieceKind struct {
	route string
	stage int
}

func newCallTimes() callTimes {
	return callTimes{callFactor: 1, pieceFactors: map[pieceKind]*float64{}}
}

// piece is the multiple for pieces of a kind. It is shared: what is learned of later
// calls shows in it.
func (t *callTimes) pieceFactor(k pieceKind) *float64 {
	factor := t.pieceFactors[k]
	if factor == nil {
		if len(t.pieceFactors) >= maxKinds {
			clear(t.pieceFactors)
		}
		usual := 1.0
		factor = &usual
		t.pieceFactors[k] = factor
	}
	return factor
}

// learnTimes takes in how long the call took.
func (c *call) learnTimes(taken time.Duration) {
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
	step := learningRate * (taken.Seconds() - expected) / norm
	s.times.callFactor = min(max(s.times.callFactor+step*fixed, minCallFactor), maxCallFactor)
	for factor, seconds := range added {
		*factor = min(max(*factor+step*seconds, minPieceFactor), maxPieceFactor)
	}
}

// callTime is what a call takes whatever it holds.
func (s *service) callTime() time.Duration {
	return time.Duration(s.times.callFactor * float64(s.config.CallTime))
}

// pieceTime is what one piece of a stage adds to a call.
func (s *heldStage) pieceTime() time.Duration {
	return time.Duration(*s.timeFactor * float64(s.service.config.PieceTime))
}

// expected is how long a call of pieces takes at a target of usual speed.
func (s *service) expected(pieceTime time.Duration) time.Duration {
	return s.callTime() + pieceTime
}
