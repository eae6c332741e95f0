package deadline

import (
	"math"
	"time"
)

// Buckets grow by a factor of 2^(1/bucketsPerOctave), starting at minBucketTime. This
// bounds the error of a quantile to half a bucket, about 9%.
const (
	bucketsPerOctave = 4
	bucketCount      = 84
	minBucketTime    = 500 * time.Microsecond
)

// maxSampleWeight is the sample weight above which all weights are scaled back, well
// within the range of a float32.
const maxSampleWeight = 1e12

// minEffectiveSamples is the number of observations, by weight, that decay leaves, so that
// a stage which runs once a minute keeps a distribution and not a single value.
const minEffectiveSamples = 16

// histogram counts stage times with exponentially decaying weights. It uses forward
// decay (Cormode, Shkapenyuk, Srivastava, Xu: "Forward Decay: A Practical Time Decay
// Model for Streaming Systems", ICDE 2009): newer observations get a higher weight, and
// the weights of older ones don't change until all are scaled back.
type histogram struct {
	weights [bucketCount]float32
	total   float32
	// sampleWeight is the weight of the latest observation.
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

// bucketValue returns the geometric mean of a bucket's bounds.
func bucketValue(i int) time.Duration {
	if i == 0 {
		return minBucketTime
	}
	exponent := (float64(i) - 0.5) / bucketsPerOctave
	return time.Duration(float64(minBucketTime) * math.Exp2(exponent))
}

// seed initialises the histogram from the operator's estimate, with most of the weight at
// the estimate and some above it, since stage times have a long upper tail.
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

// maxDecay returns the maximum decay, in half-lives, that one observation may cause. It
// keeps the total weight at about minEffectiveSamples observations or more.
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
