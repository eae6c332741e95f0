// Package waits analyses the logs of instances. It reports how the time of requests is
// divided between the queue for stage targets, calls to them, and the engine.
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

// Request is a request as logged by its own instance and by the holder of the stage queue.
type Request struct {
	Pipeline string
	// EndedAt is the time at which the request ended.
	EndedAt time.Time
	Status  int
	Reason  string
	// Elapsed is the total time, StageWait the time until the results of the stages were
	// there, FirstEvent the time from sending the request to the engine to the first event,
	// LongestPause the longest time between two events.
	Elapsed, StageWait, FirstEvent, LongestPause time.Duration
	// StageTimes is logged by the holder of the stage queue; nil if no line was found.
	StageTimes *StageTimes
}

// StageTimes holds the times of the execution of a request's stages.
type StageTimes struct {
	// Queued is the time for which stages waited for a call, InCalls the time in calls.
	// Both are sums over all stages, not only over those on the critical path.
	Queued, InCalls time.Duration
	// Elapsed is the time from the admission to the last result. Predicted is its prediction
	// and TimeToObjective the time until the request's objective, both at the admission.
	Elapsed, Predicted, TimeToObjective time.Duration
}

// Call is a call to a stage target.
type Call struct {
	EndedAt time.Time
	Service string
	Pieces  int
}

// Log is the content of the logs of one or more instances.
type Log struct {
	Requests map[string]*Request
	Calls    []Call
}

var (
	// klogHeader matches klog's severity, month and day, and time, and the message.
	klogHeader        = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ [^ ]+\] "([^"]*)"`)
	keyValue          = regexp.MustCompile(`(\w+)=(?:"([^"]*)"|(\S+))`)
	stageTimesPattern = regexp.MustCompile(`\d+:(\d+)/(\d+)/(\d+)`)
)

// maxLineBytes is the longest line that is read: many times the longest that instances
// write.
const maxLineBytes = 64 << 10

// Read parses log lines. It ignores any text before an instance's own line, such as a name
// or a time, and lines of other programs.
func Read(r io.Reader) (*Log, error) {
	l := &Log{Requests: map[string]*Request{}}
	stageTimes := map[string]*StageTimes{}
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
			stageTimes[fields.text("request_id")] = fields.stageTimes()
		case "Stage call ended":
			l.Calls = append(l.Calls, Call{EndedAt: at, Service: fields.text("pool"), Pieces: fields.number("count")})
		}
		if fields.err != nil {
			return nil, errors.Wrapf(fields.err, "line %d", n)
		}
	}
	for id, times := range stageTimes {
		if r := l.Requests[id]; r != nil {
			r.StageTimes = times
		}
	}
	return l, errors.Wrap(lines.Err(), "read")
}

// fields holds the keys and values of a line; err is the error of the first malformed value.
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
	t := &StageTimes{Elapsed: f.duration("elapsed"), Predicted: f.duration("needed"), TimeToObjective: f.duration("left")}
	for _, times := range stageTimesPattern.FindAllStringSubmatch(f.text("stage"), -1) {
		ready, sent, done := milliseconds(times[1]), milliseconds(times[2]), milliseconds(times[3])
		t.Queued += sent - ready
		t.InCalls += done - sent
	}
	return t
}

// milliseconds parses digits that stageTimesPattern has matched.
func milliseconds(digits string) time.Duration {
	n, _ := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
	return time.Duration(n) * time.Millisecond
}
