package resumption

// Reason is why a stream's origin is known or unknown, as logged and counted.
type Reason string

// The reasons.
const (
	// ReasonRecord is a record of the stream.
	ReasonRecord Reason = "record"
	// ReasonSole means that the service has had only one version.
	ReasonSole Reason = "only_version"
	// ReasonNoRecord means that the service has several versions and nobody has a record.
	ReasonNoRecord Reason = "no_record"
	// ReasonAmbiguous means that two streams have the id.
	ReasonAmbiguous Reason = "ambiguous"
	// ReasonUnsure means that nobody knows whether the service has had only one version.
	ReasonUnsure Reason = "unsure"
)

// Reasons has all reasons.
var Reasons = []Reason{ReasonRecord, ReasonSole, ReasonNoRecord, ReasonAmbiguous, ReasonUnsure}

// Answer is what an instance knows of a stream.
type Answer struct {
	// Record is the record of the stream, if Found.
	Record Record
	Found  bool
	// Several is true if the instance knows of several versions of the service, and Sole the only one
	// that it has had for Lifetime; empty if the instance can't tell.
	Several bool
	Sole    string
}

// Evidence is what is known of a stream as it is taken up.
type Evidence struct {
	// Own is what this instance knows, Answers what others do.
	Own     Answer
	Answers []Answer
	// Confirmed is true if the store has been read since the stream is taken up, so that this instance knows all
	// versions at which the stream can have begun.
	Confirmed bool
	// Quorum is how many instances, this one included, have to know the same version as the only one if the store
	// hasn't been read: more than a minority that is cut off from the others has. What an instance knows may be older
	// than the stream.
	Quorum int
}

// Locate decides where a stream of a service began. The origin is meaningful only if ok is true.
//
// A record counts whoever has it.
func Locate(service string, e Evidence) (origin Origin, why Reason, ok bool) {
	sole := ""
	several, agreeing := false, 0
	for _, a := range append([]Answer{e.Own}, e.Answers...) {
		switch {
		case a.Found && (a.Record.Ambiguous || origin != (Origin{}) && origin != a.Record.Origin):
			return Origin{}, ReasonAmbiguous, false
		case a.Found:
			origin = a.Record.Origin
		}
		several = several || a.Several || a.Sole != "" && sole != "" && a.Sole != sole
		if a.Sole != "" {
			sole = a.Sole
			agreeing++
		}
	}
	switch {
	case origin != (Origin{}):
		return origin, ReasonRecord, true
	case several:
		return Origin{}, ReasonNoRecord, false
	case sole == "" || !e.Confirmed && agreeing < e.Quorum:
		return Origin{}, ReasonUnsure, false
	}
	return Origin{service, sole}, ReasonSole, true
}
