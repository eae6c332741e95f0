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
	learnRate = 0.2
	// Bounds of what is learned, as multiples of the configured times: one call
	// that met a pause must not stop the service's admission.
	leastFixed, mostFixed = 0.5, 2.0
	leastPiece, mostPiece = 0.1, 4.0
)

// callTimes is how long calls to a service take, as multiples of what is
// configured.
type callTimes struct {
	fixed  float64
	pieces map[pieceKind]*float64
}

// pieceKind is a stage of a kind of request: its pieces take alike time.
type pieceKind struct {
	route string
	stage int
}

func newCallTimes() callTimes {
	return callTimes{fixed: 1, pieces: map[pieceKind]*float64{}}
}

// piece is the multiple for pieces of a kind. It is shared: what is learned of later
// calls shows in it.
func (t *callTimes) piece(k pieceKind) *float64 {
	factor := t.pieces[k]
	if factor == nil {
		if len(t.pieces) >= maxKinds {
			clear(t.pieces)
		}
		usual := 1.0
		factor = &usual
		t.pieces[k] = factor
	}
	return factor
}

// learnTimes takes in how long the call took.
func (c *call) learnTimes(taken time.Duration) {
	s := c.target.service
	fixed := s.shape.CallTime.Seconds()
	added := map[*float64]float64{}
	for _, ref := range c.pieces {
		added[ref.stage.factor] += s.shape.PieceTime.Seconds()
	}
	expected, norm := s.times.fixed*fixed, fixed*fixed
	for factor, seconds := range added {
		expected += *factor * seconds
		norm += seconds * seconds
	}
	if norm == 0 {
		return
	}
	step := learnRate * (taken.Seconds() - expected) / norm
	s.times.fixed = min(max(s.times.fixed+step*fixed, leastFixed), mostFixed)
	for factor, seconds := range added {
		*factor = min(max(*factor+step*seconds, leastPiece), mostPiece)
	}
}

// callTime is what a call takes whatever it holds.
func (s *service) callTime() time.Duration {
	return time.Duration(s.times.fixed * float64(s.shape.CallTime))
}

// pieceTime is what one piece of a stage adds to a call.
func (s *stageWork) pieceTime() time.Duration {
	return time.Duration(*s.factor * float64(s.service.shape.PieceTime))
}

// expected is how long a call of pieces takes at a target of usual speed.
func (s *service) expected(pieceTime time.Duration) time.Duration {
	return s.callTime() + pieceTime
}
