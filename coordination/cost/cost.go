package cost

import "time"

// PlanningQuantile is the quantile of the distributions that Estimate.FirstEvent, Estimate.Total,
// Estimate.Output and Estimate.Memory name. Three of four requests cost no more: the median would
// promise memory and time that every second request exceeds.
const PlanningQuantile = 0.75

// Request describes a request before it is sent.
type Request struct {
	Pool, Route, Account string
	// Uncached is the number of prompt tokens that the target has to read, PromptTokens the
	// length of the whole prompt.
	Uncached, PromptTokens int
	// MaxOutput is the greatest number of output tokens; 0 if unknown.
	MaxOutput int
	// Hint is the caller's estimate of the output tokens; 0 if it gave none.
	Hint int
}

// Estimate is what a request is predicted to cost.
type Estimate struct {
	// FirstEvent and Total are the times to the first event and to the end at an idle target.
	FirstEvent, Total time.Duration
	// Median is the time to the end that half of such requests need.
	Median time.Duration
	// Read is the part of these times for the uncached tokens.
	Read time.Duration
	// Output is the number of output tokens.
	Output float64
	// Memory is the number of tokens that the request needs in the target's memory while it runs.
	Memory float64

	rest *distribution // of Total without Read
}

// Observed reports whether the times follow from requests that were observed, and not from defaults.
func (e Estimate) Observed() bool { return e.rest != nil }

// WithRead returns the estimate with a share of the uncached tokens, 0 to 1.
func (e Estimate) WithRead(share float64) Estimate {
	saved := e.Read - time.Duration(float64(e.Read)*share)
	e.Read, e.FirstEvent, e.Median, e.Total = e.Read-saved, e.FirstEvent-saved, e.Median-saved, e.Total-saved
	return e
}

// Mean returns the expected time until the end of a request that starts now at an idle target.
func (e Estimate) Mean() time.Duration { return e.Remaining(0) }

// Remaining returns the expected time until the end of a request that has run for age at an idle
// target. It grows with the age where most requests are short and a few are long.
func (e Estimate) Remaining(age time.Duration) time.Duration {
	if age < e.Read {
		return e.Read - age + e.afterRead(0)
	}
	return e.afterRead(age - e.Read)
}

func (e Estimate) afterRead(age time.Duration) time.Duration {
	if e.rest != nil {
		return seconds(e.rest.remaining(age.Seconds()))
	}
	// Without a distribution the duration counts as exponential: its remainder doesn't depend on the age.
	return max(e.Total-e.Read, 0)
}

// Observation is what was seen of a request at a target.
type Observation struct {
	// FirstEvent is the time from the send to the first event, Total to the end; 0 if not seen.
	FirstEvent, Total time.Duration
	// Output is the number of output tokens or events; 0 if unknown.
	Output int
	// Wait is the part of both times that the request waited for others.
	Wait time.Duration
	// Slowdown is how much longer than usual work took at the target; 0 or 1 is usual.
	Slowdown float64
}

// idle returns an observed time in seconds as it would have been at an idle target.
func (o *Observation) idle(d time.Duration) float64 {
	s := max(d-o.Wait, 0).Seconds()
	if o.Slowdown > 0 {
		s /= o.Slowdown
	}
	return max(s, minValue*secondsUnit)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
