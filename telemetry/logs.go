package telemetry

import (
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// maxLogText is the maximum length of a text in a log line, in bytes, so that an
// error that wraps a peer's response cannot flood the log.
const maxLogText = 512

// Event holds the key-value pairs of a log line. Empty fields are left out. There is
// no field for a body or a key, so neither can be logged by mistake.
type Event struct {
	RequestID string
	Stage     string
	Target    string
	// Version is the software version of the target.
	Version string
	// Resumes is the id of the caller's attempt that began the stream.
	Resumes   string
	Peer      string
	AttemptID string
	// Account is the name of a client account, or of several separated by commas.
	Account string
	// Digest identifies the content of a request; it is the same for repeats.
	Digest string
	// Parts are the digests of the shared parts of a request's prompt.
	Parts      []string
	Pipeline   string
	Pool       string
	DataCentre string
	// Record is a record of the platform, as kind/name.
	Record   string
	Revision uint64
	// Reason is a short constant text of the program, never one from outside.
	Reason string
	// Cause is the error that ended a request without a response of a target.
	Cause string
	Count int
	// Bytes is the size of a record's body.
	Bytes int
	// Rate is a number of requests a second.
	Rate float64
	// GrantWait is how long a request waited until it was granted a send to a target.
	GrantWait time.Duration
	// Status is the status code of an HTTP response; 0 if there was none.
	Status  int
	Elapsed time.Duration
	// HeaderDuration is the time from a request's first byte to the end of its
	// header.
	HeaderDuration time.Duration
	// StageWait is how long a request waited for the results of its stages.
	// FirstEvent is the time from sending the request to its target until the first
	// event or the complete response. LongestPause is the longest time between two events.
	StageWait, FirstEvent, LongestPause time.Duration
	// Predicted is the predicted duration of the work, Remaining the time that was
	// available for it, and RetryAfter the delay after which the caller was asked to
	// retry.
	Predicted, Remaining, RetryAfter time.Duration
	// KnowledgeAge is the age of the state on which the instance acted: the time
	// since the store last responded about it.
	KnowledgeAge time.Duration
	// LastEvent is the id of the last event of a stream that the caller received,
	// Sources the number of targets whose events the caller received, and Framing how
	// the target marked the end of its response.
	LastEvent string
	Sources   int
	Framing   string
	// Address is an IP:port that the instance listens on or connects to.
	Address string
}

// maxPairs is the maximum number of keys and values of an Event and an instance.
const maxPairs = 2 * 32

// pairs returns the non-empty fields as alternating keys and values for klog.
func (e *Event) pairs() []any {
	kv := make([]any, 0, maxPairs)
	kv = appendText(kv, "request_id", e.RequestID)
	kv = appendText(kv, "stage", e.Stage)
	kv = appendText(kv, "target", e.Target)
	kv = appendText(kv, "version", e.Version)
	kv = appendText(kv, "resumes", e.Resumes)
	kv = appendText(kv, "peer", e.Peer)
	kv = appendText(kv, "attempt_id", e.AttemptID)
	kv = appendText(kv, "account", e.Account)
	kv = appendText(kv, "digest", e.Digest)
	kv = appendText(kv, "parts", strings.Join(e.Parts, ","))
	kv = appendText(kv, "pipeline", e.Pipeline)
	kv = appendText(kv, "pool", e.Pool)
	kv = appendText(kv, "data_centre", e.DataCentre)
	kv = appendText(kv, "record", e.Record)
	if e.Revision != 0 {
		kv = append(kv, "revision", e.Revision)
	}
	kv = appendText(kv, "reason", e.Reason)
	kv = appendText(kv, "cause", e.Cause)
	if e.Count != 0 {
		kv = append(kv, "count", e.Count)
	}
	if e.Bytes != 0 {
		kv = append(kv, "bytes", e.Bytes)
	}
	if e.Rate != 0 {
		kv = append(kv, "per_second", e.Rate)
	}
	if e.Status != 0 {
		kv = append(kv, "status", e.Status)
	}
	kv = appendDuration(kv, "elapsed", e.Elapsed)
	kv = appendDuration(kv, "head", e.HeaderDuration)
	kv = appendDuration(kv, "stages", e.StageWait)
	kv = appendDuration(kv, "grant", e.GrantWait)
	kv = appendDuration(kv, "first", e.FirstEvent)
	kv = appendDuration(kv, "pause", e.LongestPause)
	kv = appendDuration(kv, "needed", e.Predicted)
	kv = appendDuration(kv, "left", e.Remaining)
	kv = appendDuration(kv, "retry_after", e.RetryAfter)
	kv = appendDuration(kv, "known", e.KnowledgeAge)
	kv = appendText(kv, "last_event", e.LastEvent)
	if e.Sources != 0 {
		kv = append(kv, "sources", e.Sources)
	}
	kv = appendText(kv, "framing", e.Framing)
	return appendText(kv, "address", e.Address)
}

func appendDuration(kv []any, key string, d time.Duration) []any {
	if d == 0 {
		return kv
	}
	return append(kv, key, d)
}

func appendText(kv []any, key, text string) []any {
	if text == "" {
		return kv
	}
	return append(kv, key, truncate(text))
}

func truncate(text string) string {
	if len(text) <= maxLogText {
		return text
	}
	return text[:maxLogText] + "..."
}

// InfoS logs a message that an operator must see.
func InfoS(msg string, e Event) {
	klog.InfoSDepth(1, msg, e.pairs()...)
}

// ErrorS logs a failure that an operator may have to act on. The error text is
// truncated.
func ErrorS(err error, msg string, e Event) {
	klog.ErrorSDepth(1, truncatedError{err}, msg, e.pairs()...)
}

// DebugS logs at the given verbosity. Since the caller builds the event, hot paths
// should check DebugEnabled first.
func DebugS(level int, msg string, e Event) {
	if !DebugEnabled(level) {
		return
	}
	klog.InfoSDepth(1, msg, e.pairs()...)
}

// DebugEnabled reports whether lines of the given verbosity are logged.
func DebugEnabled(level int) bool {
	return klog.V(klog.Level(level)).Enabled()
}

// truncatedError limits the length of an error's text.
type truncatedError struct{ err error }

// Error implements error.
func (e truncatedError) Error() string {
	if e.err == nil {
		return ""
	}
	return truncate(e.err.Error())
}

func (e truncatedError) Unwrap() error { return e.err }

// setupLogs configures klog. klog reads its configuration from flags; the flag set
// here is private, so the program's own flags are unaffected.
func setupLogs(o Options) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	toStderr := strconv.FormatBool(o.LogOutput == nil)
	config := [][2]string{
		{"v", strconv.Itoa(o.LogLevel)},
		{"logtostderr", toStderr},
		{"alsologtostderr", "false"},
		// The log has a single output: errors are not duplicated elsewhere.
		{"stderrthreshold", "FATAL"},
		{"one_output", "true"},
	}
	for _, c := range config {
		if err := flags.Set(c[0], c[1]); err != nil {
			return errors.Wrapf(err, "telemetry: log flag %s", c[0])
		}
	}
	if o.LogOutput != nil {
		klog.SetOutput(o.LogOutput)
	}
	return nil
}

func flushLogs() { klog.Flush() }
