package deadline

import (
	"math"
	"time"
)

// Shape of the histogram: buckets grow by a factor of 2^(1/bucketsPerOctave)
// from minTracked on, which bounds the error of a quantile to half a bucket,
// about 9%.
const (
	bucketsPerOctave = 4
	bucketCount      = 84
	minBucketTime    = 500 * time.Microsecond
)

// maxWeight is where the forward-decayed weights are scaled back, well within
// the range of a float32.
const maxSampleWeight = 1e12

// minRemembered is the number of observations that fading leaves: a stage which
// runs once a minute keeps a distribution and not one value.
const minEffectiveSamples = 16

// histogram counts stage times with exponentially decaying weights. Decay works
// forward (Cormode, Shkapenyuk, Srivastava, Xu: "Forward Decay: A Practical
// Time Decay Model for Streaming Systems", ICDE 2009): newer observations weigh
// more, and older ones are never touched until all are scaled back.
type histogram struct {
	weights [bucketCount]float32
	total   float32
	// scale is the weight of the next observation.
	sampleWeight float64
	lastObserved time.Time
}

func bucketOf(d time.Duration) int {
	if d <= minBucketTime {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(minBucketTime))*bucketsPerOctave) + 1
	return min(i, bucketCount-1)
}

// bucketValue is the geometric middle of a bucket.
func bucketValue(i int) time.Duration {
	if i == 0 {
		return minBucketTime
	}
	exponent := (float64(i) - 0.5) / bucketsPerOctave
	return time.Duration(float64(minBucketTime) * math.Exp2(exponent))
}

// seed starts the histogram from the operator's estimate: most of the weight
// at the estimate, some above it, as stage times have a long upper tail.
func (h *histogram) seed(now time.Time, expected time.Duration) {
	h.sampleWeight = 1
	h.lastObserved = now
	h.add(expected, 0.8*priorWeight)
	h.add(expected*3/2, 0.15*priorWeight)
	h.add(expected*5/2, 0.05*priorWeight)
}

func (h *histogram) add(d time.Duration, weight float64) {
	h.weights[bucketOf(d)] += float32(weight)
	h.total += float32(weight)
}

func (h *histogram) observe(now time.Time, halfLife, d time.Duration) {
	elapsed := max(float64(now.Sub(h.lastObserved))/float64(halfLife), 0)
	h.sampleWeight *= math.Exp2(min(elapsed, h.maxDecay()))
	if now.After(h.lastObserved) {
		h.lastObserved = now
	}
	h.add(d, h.sampleWeight)
	if h.sampleWeight > maxSampleWeight {
		h.rescale()
	}
}

// fadeable is by how many half-lives the observations may fade at once.
func (h *histogram) maxDecay() float64 {
	samples := float64(h.total) / h.sampleWeight
	return max(math.Log2(samples/minEffectiveSamples), 1.0/minEffectiveSamples)
}

func (h *histogram) rescale() {
	factor := float32(1 / h.sampleWeight)
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= factor
		h.total += h.weights[i]
	}
	h.sampleWeight = 1
}

func (h *histogram) quantile(q float64) time.Duration {
	rank := float32(q) * h.total
	var seen float32
	for i, w := range h.weights {
		seen += w
		if seen >= rank && w > 0 {
			return bucketValue(i)
		}
	}
	return bucketValue(bucketCount - 1)
}
