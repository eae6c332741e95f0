// Package waits reads the logs of instances and tells where the time of requests went:
// in the queue of stage targets, in calls, at the engine.
package waits

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is what the logs say of one request.
type Request struct {
	Pipeline string
	// At is the time of its end.
	EndedAt time.Time
	Status  int
	Reason  string
	// Elapsed is the whole time, Stages the wait for the stages' results, First the
	// time from the sending to the engine to the first event, Pause the longest time
	// between two events.
	Elapsed, StageWait, FirstEvent, LongestPause time.Duration
	// Made is what the holder of the queue says; nil without a word of it.
	StageTimes *StageTimes
}

// Made is how the stages of a request were made.
type StageTimes struct {
	// Queued is the time for which its stages waited for calls, the longest way
	// through them alone not told apart; Called the time in calls.
	Queued, InCalls time.Duration
	// Taken is the time from its admission to the last result, Predicted what was
	// predicted then, Left the time that there was for an answer in time.
	Elapsed, Predicted, TimeToObjective time.Duration
}

// Call is one call to a stage target.
type Call struct {
	EndedAt time.Time
	Service string
	Pieces  int
}

// Log is what the logs of some instances say.
type Log struct {
	Requests map[string]*Request
	Calls    []Call
}

var (
	// header is klog's: severity, month and day, time.
	klogHeader        = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ [^ ]+\] "([^"]*)"`)
	keyValue          = regexp.MustCompile(`(\w+)=(?:"([^"]*)"|(\S+))`)
	stageTimesPattern = regexp.MustCompile(`\d+:(\d+)/(\d+)/(\d+)`)
)

// maxLine bounds a line, in bytes: many times the longest that instances write.
const maxLineBytes = 64 << 10

// Read takes in lines; what stands before an instance's own line, as a name or a time,
// is passed over, and so are lines of other programs.
func Read(r io.Reader) (*Log, error) {
	l := &Log{Requests: map[string]*Request{}}
	made := map[string]*StageTimes{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		m := klogHeader.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse("0102 15:04:05.000000", m[1])
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		fields := parseFields(lines.Text())
		switch m[2] {
		case "Request ended":
			l.Requests[fields.text("request_id")] = fields.request(at)
		case "Stages done":
			made[fields.text("request_id")] = fields.stageTimes()
		case "Stage call ended":
			l.Calls = append(l.Calls, Call{EndedAt: at, Service: fields.text("pool"), Pieces: fields.number("count")})
		}
		if fields.err != nil {
			return nil, errors.Wrapf(fields.err, "line %d", n)
		}
	}
	for id, m := range made {
		if r := l.Requests[id]; r != nil {
			r.StageTimes = m
		}
	}
	return l, errors.Wrap(lines.Err(), "read")
}

// fields are the keys and values of a line; err is the first value that is malformed.
type fields struct {
	values map[string]string
	err    error
}

func parseFields(line string) *fields {
	f := &fields{values: map[string]string{}}
	for _, m := range keyValue.FindAllStringSubmatch(line, -1) {
		f.values[m[1]] = m[2] + m[3]
	}
	return f
}

func (f *fields) text(key string) string { return f.values[key] }

func (f *fields) number(key string) int {
	if f.values[key] == "" {
		return 0
	}
	n, err := strconv.Atoi(f.values[key])
	f.setErr(key, err)
	return n
}

func (f *fields) duration(key string) time.Duration {
	if f.values[key] == "" {
		return 0
	}
	d, err := time.ParseDuration(f.values[key])
	f.setErr(key, err)
	return d
}

func (f *fields) setErr(key string, err error) {
	if err != nil && f.err == nil {
		f.err = errors.Wrap(err, key)
	}
}

func (f *fields) request(at time.Time) *Request {
	return &Request{
		Pipeline: f.text("pipeline"), EndedAt: at, Status: f.number("status"), Reason: f.text("reason"),
		Elapsed: f.duration("elapsed"), StageWait: f.duration("stages"), FirstEvent: f.duration("first"), LongestPause: f.duration("pause"),
	}
}

func (f *fields) stageTimes() *StageTimes {
	m := &StageTimes{Elapsed: f.duration("elapsed"), Predicted: f.duration("needed"), TimeToObjective: f.duration("left")}
	for _, times := range stageTimesPattern.FindAllStringSubmatch(f.text("stage"), -1) {
		ready, sent, done := milliseconds(times[1]), milliseconds(times[2]), milliseconds(times[3])
		m.Queued += sent - ready
		m.InCalls += done - sent
	}
	return m
}

// milliseconds reads digits that the expression above has found.
func milliseconds(digits string) time.Duration {
	n, _ := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
	return time.Duration(n) * time.Millisecond
}
