package platformapi

// Paths, headers and limits of the platform's HTTP interface.
const (
	PathObjects = "/v1/objects/"
	PathWeights = "/v1/weights/"
	// HeaderInstance names the instance that calls.
	HeaderInstance = "Instance"
	// KindAny stands in a watch's path when ?kinds= names several kinds.
	KindAny = "*"
	// MaxValueBytes bounds spec and status of an object together.
	MaxValueBytes = 1 << 20
	// MaxPageItems and MaxPageBytes bound one answer of a list or a watch; the
	// first item is always given, whatever its size.
	MaxPageItems = 500
	MaxPageBytes = 4 << 20
	// MaxWatchWaitMS bounds the wait of one watch, in milliseconds.
	MaxWatchWaitMS = 60_000
)
