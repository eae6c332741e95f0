package platformapi

// Paths, headers and limits of the platform's HTTP interface.
const (
	PathObjects = "/v1/objects/"
	PathWeights = "/v1/weights/"
	// HeaderInstance is the name of the calling instance.
	HeaderInstance = "Instance"
	// KindAny replaces the kind in a watch's path if ?kinds= lists several kinds.
	KindAny = "*"
	// MaxValueBytes is the maximum total size of an object's spec and status.
	MaxValueBytes = 1 << 20
	// MaxPageItems and MaxPageBytes limit one response to a list or watch; the
	// first item is always included, whatever its size.
	MaxPageItems = 500
	MaxPageBytes = 4 << 20
	// MaxWatchWaitMS is the maximum wait of one watch, in milliseconds.
	MaxWatchWaitMS = 60_000
)
