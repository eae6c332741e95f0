package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// fate is how an offered request ended.
type requestOutcome uint8

const (
	outcomeDeadlineMissed requestOutcome = iota // no whole answer by the deadline
	outcomeCompleted
	outcomeRefused
	outcomeFailed
)

// record is what is kept of an offered request.
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

// Result is what one run gave.
type Result struct {
	Offered, Attained int
	Refused, Failed   int
	Tiers             []TierResult
	Stages            []StageResult
	// Sent counts the attempts; Requests with an attempt each would be 1.
	Attempts, Hedges int
	// SavedTokens were prefilled though another engine had them cached.
	AvoidableTokens int
	// Response is from the intended arrival, in microseconds, of whole answers.
	ResponseTimes *hdrhistogram.Histogram
}

// TierResult counts the requests of a tier.
type TierResult struct {
	Name              string
	Offered, Attained int
}

// StageResult is the work of a stage, of useful and wasted attempts.
type StageResult struct {
	Name                string
	Seconds             float64
	PrefillTokens       int
	WastedSeconds       float64
	WastedPrefillTokens int
}

// Attainment is the share of all offered requests answered whole in time.
func (r *Result) Attainment() float64 {
	return ratio(float64(r.Attained), float64(r.Offered))
}

// Attainment is the tier's share of offered requests answered whole in time.
func (t *TierResult) Attainment() float64 {
	return ratio(float64(t.Attained), float64(t.Offered))
}

// SecondsPerAnswer is the stage-seconds per request answered whole in time.
func (r *Result) SecondsPerAttained() float64 {
	sum := 0.0
	for _, s := range r.Stages {
		sum += s.Seconds
	}
	return ratio(sum, float64(r.Attained))
}

// PrefillPerAnswer is the prefill tokens per request answered whole in time.
func (r *Result) PrefillPerAttained() float64 {
	sum := 0
	for _, s := range r.Stages {
		sum += s.PrefillTokens
	}
	return ratio(float64(sum), float64(r.Attained))
}

// WastedShare is the share of the stage-seconds that served no answer.
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

// warmUpShare is the part of a run before the measure begins.
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
