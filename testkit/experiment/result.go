package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// requestOutcome is the outcome of an offered request.
type requestOutcome uint8

const (
	outcomeDeadlineMissed requestOutcome = iota // no complete response by the deadline
	outcomeCompleted
	outcomeRefused
	outcomeFailed
)

// requestRecord is the history of an offered request, from which the result is
// computed. successful holds, for each stage, the attempt whose response was used.
type requestRecord struct {
	request     *Request
	outcome     requestOutcome
	completedAt time.Duration
	attempts    []*attempt
	successful  []*attempt
}

func (rec *requestRecord) attained() bool {
	return rec.outcome == outcomeCompleted && rec.completedAt <= rec.request.Deadline
}

// Result is the result of one run.
type Result struct {
	Offered, Attained int
	Refused, Failed   int
	Tiers             []TierResult
	Stages            []StageResult
	// Attempts is the number of attempts sent, including hedges; Hedges is the number
	// of hedges among them.
	Attempts, Hedges int
	// AvoidableTokens is the number of tokens that an engine prefilled although
	// another engine had them cached.
	AvoidableTokens int
	// ResponseTimes holds the times from the intended arrival to the complete
	// response, in microseconds.
	ResponseTimes *hdrhistogram.Histogram
}

// TierResult holds the numbers of offered and attained requests of a tier.
type TierResult struct {
	Name              string
	Offered, Attained int
}

// StageResult is the work done for a stage by all attempts, and the part that was
// wasted: the work of attempts whose response wasn't used for an attained request.
type StageResult struct {
	Name                string
	Seconds             float64
	PrefillTokens       int
	WastedSeconds       float64
	WastedPrefillTokens int
}

// Attainment returns the share of the offered requests that were completed by
// their deadline.
func (r *Result) Attainment() float64 {
	return ratio(float64(r.Attained), float64(r.Offered))
}

// Attainment returns the share of the tier's offered requests that were
// completed by their deadline.
func (t *TierResult) Attainment() float64 {
	return ratio(float64(t.Attained), float64(t.Offered))
}

// SecondsPerAttained returns the stage-seconds per request completed by its
// deadline.
func (r *Result) SecondsPerAttained() float64 {
	sum := 0.0
	for _, s := range r.Stages {
		sum += s.Seconds
	}
	return ratio(sum, float64(r.Attained))
}

// PrefillPerAttained returns the prefilled tokens per request completed by its
// deadline.
func (r *Result) PrefillPerAttained() float64 {
	sum := 0
	for _, s := range r.Stages {
		sum += s.PrefillTokens
	}
	return ratio(float64(sum), float64(r.Attained))
}

// WastedShare returns the share of the stage-seconds that was wasted.
func (r *Result) WastedShare() float64 {
	sum, wasted := 0.0, 0.0
	for _, s := range r.Stages {
		sum += s.Seconds
		wasted += s.WastedSeconds
	}
	return ratio(wasted, sum)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// warmUpShare is the share of a run's length that is warm-up. Requests whose intended
// arrival is in it aren't counted.
const warmUpShare = 0.1

const (
	minResponseTime = int64(1)
	maxResponseTime = int64(60_000_000)
	responseDigits  = 3
)

func (r *run) measure() *Result {
	result := &Result{ResponseTimes: hdrhistogram.New(minResponseTime, maxResponseTime, responseDigits)}
	for _, tier := range r.config.Shape.Tiers {
		result.Tiers = append(result.Tiers, TierResult{Name: tier.Name})
	}
	for _, stage := range r.config.Shape.Stages {
		result.Stages = append(result.Stages, StageResult{Name: stage.Name})
	}
	warm := time.Duration(warmUpShare * float64(r.config.Length))
	for _, rec := range r.records {
		if rec.request.IntendedAt >= warm {
			result.addRequest(rec)
		}
	}
	return result
}

func (r *Result) addRequest(rec *requestRecord) {
	tier := &r.Tiers[rec.request.Tier]
	r.Offered++
	tier.Offered++
	switch rec.outcome {
	case outcomeRefused:
		r.Refused++
	case outcomeFailed:
		r.Failed++
	case outcomeCompleted:
		_ = r.ResponseTimes.RecordValue((rec.completedAt - rec.request.IntendedAt).Microseconds())
	case outcomeDeadlineMissed:
	}
	attained := rec.attained()
	if attained {
		r.Attained++
		tier.Attained++
	}
	useful := map[*attempt]bool{}
	for _, a := range rec.successful {
		useful[a] = attained
	}
	for _, a := range rec.attempts {
		r.addAttempt(a, useful[a])
	}
}

func (r *Result) addAttempt(a *attempt, useful bool) {
	stage := &r.Stages[a.stage]
	r.Attempts++
	if a.hedge {
		r.Hedges++
	}
	stage.Seconds += a.job.workTime.Seconds()
	stage.PrefillTokens += a.job.prefillTokens
	r.AvoidableTokens += a.job.avoidableTokens
	if !useful {
		stage.WastedSeconds += a.job.workTime.Seconds()
		stage.WastedPrefillTokens += a.job.prefillTokens
	}
}
