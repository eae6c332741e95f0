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
	pieces map[pieceKind]float64
}

// pieceKind is a stage of a kind of request: its pieces take alike time.
type pieceKind struct {
	route string
	stage int
}

func newCallTimes() callTimes {
	return callTimes{fixed: 1, pieces: map[pieceKind]float64{}}
}

// piece is the multiple for pieces of a kind.
func (t *callTimes) piece(k pieceKind) float64 {
	if factor, ok := t.pieces[k]; ok {
		return factor
	}
	return 1
}

// learnTimes takes in how long the call took.
func (c *call) learnTimes(taken time.Duration) {
	s := c.target.service
	fixed := s.shape.CallTime.Seconds()
	added := map[pieceKind]float64{}
	for _, ref := range c.pieces {
		added[ref.stage.kind()] += s.shape.PieceTime.Seconds()
	}
	expected, norm := s.times.fixed*fixed, fixed*fixed
	for kind, seconds := range added {
		expected += s.times.piece(kind) * seconds
		norm += seconds * seconds
	}
	if norm == 0 {
		return
	}
	step := learnRate * (taken.Seconds() - expected) / norm
	s.times.fixed = min(max(s.times.fixed+step*fixed, leastFixed), mostFixed)
	if len(s.times.pieces) > maxKinds {
		clear(s.times.pieces)
	}
	for kind, seconds := range added {
		s.times.pieces[kind] = min(max(s.times.piece(kind)+step*seconds, leastPiece), mostPiece)
	}
}

// callTime is what a call takes whatever it holds.
func (s *service) callTime() time.Duration {
	return time.Duration(s.times.fixed * float64(s.shape.CallTime))
}

// pieceTime is what one piece of a stage adds to a call.
func (s *service) pieceTime(w *stageWork) time.Duration {
	return time.Duration(s.times.piece(w.kind()) * float64(s.shape.PieceTime))
}

// expected is how long a call of pieces takes at a target of usual speed.
func (s *service) expected(pieceTime time.Duration) time.Duration {
	return s.callTime() + pieceTime
}

func (s *stageWork) kind() pieceKind { return pieceKind{s.work.Route, s.index} }
