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

// Locate decides where a stream of a service began. own is what this instance knows, and current is true if
// it knows the targets, or what the store has of their versions, as they are now; answers are those of other
// instances. The origin is meaningful only if ok is true.
//
// A record counts whoever has it. An instance whose knowledge is old takes a version for the only one
// only if another instance that knows does so too.
func Locate(service string, own Answer, current bool, answers []Answer) (origin Origin, why Reason, ok bool) {
	sole := ""
	several, sure := own.Several, current
	for i, a := range append([]Answer{own}, answers...) {
		sure = sure || i > 0 && a.Sole != ""
		switch {
		case a.Found && (a.Record.Ambiguous || origin != (Origin{}) && origin != a.Record.Origin):
			return Origin{}, ReasonAmbiguous, false
		case a.Found:
			origin = a.Record.Origin
		}
		several = several || a.Several || a.Sole != "" && sole != "" && a.Sole != sole
		if a.Sole != "" {
			sole = a.Sole
		}
	}
	switch {
	case origin != (Origin{}):
		return origin, ReasonRecord, true
	case several:
		return Origin{}, ReasonNoRecord, false
	case !sure || sole == "":
		return Origin{}, ReasonUnsure, false
	}
	return Origin{service, sole}, ReasonSole, true
}
