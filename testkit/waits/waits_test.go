package waits

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sample = `   1.0 front-1 I1203 10:00:01.000000    7 owner.go:259] "Stages done" request_id="a" stage="0:0/50/300 1:300/400/700" pipeline="r" elapsed="700ms" needed="800ms" left="1s"
   1.0 front-1 I1203 10:00:01.000000    7 calls.go:27] "Stage call ended" target="t" pool="s" reason="answered" count=3 elapsed="250ms"
   1.3 front-2 I1203 10:00:01.300000    8 answer.go:264] "Request ended" request_id="a" target="e" pipeline="r" status=200 elapsed="1.3s" stages="702ms" first="400ms" pause="20ms"
some other line
   1.4 front-2 I1203 10:00:01.400000    8 answer.go:264] "Request ended" request_id="b" pipeline="r" reason="queue_too_long" status=503 elapsed="2ms"
`

// Finding the cause of a late response needs the lines of the holder of the stage queue and
// of the request's own instance, which are in different logs.
func TestReadJoinsLinesOfRequest(t *testing.T) {
	l, err := Read(strings.NewReader(sample))
	require.NoError(t, err)
	require.Len(t, l.Requests, 2)
	a := l.Requests["a"]
	require.Equal(t, 400*time.Millisecond, a.FirstEvent)
	require.Equal(t, &StageTimes{
		Queued: 150 * time.Millisecond, InCalls: 550 * time.Millisecond,
		Elapsed: 700 * time.Millisecond, Predicted: 800 * time.Millisecond, TimeToObjective: time.Second,
	}, a.StageTimes)
	require.Equal(t, []Call{{EndedAt: a.EndedAt.Add(-300 * time.Millisecond), Service: "s", Pieces: 3}}, l.Calls)

	var table bytes.Buffer
	require.NoError(t, l.WriteTable(&table))
	require.Regexp(t, `r +2 +1 +1 +150 +150 +550`, table.String())
	require.Regexp(t, `s +1 +3\.0`, table.String())

	dir := t.TempDir()
	waits, fill := filepath.Join(dir, "w.png"), filepath.Join(dir, "f.png")
	require.NoError(t, l.Plot(waits, fill))
	for _, path := range []string{waits, fill} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Positive(t, info.Size())
	}
}

// Requests without stages and those imported from another queue have no prediction and would
// count as well predicted. Requests predicted to be late have far longer predictions and would hide the
// others' in the same row.
func TestWritePredictionsSeparatesLateAndSkipsUnpredicted(t *testing.T) {
	completed := func(predicted, elapsed time.Duration) *Request {
		return &Request{Pipeline: "r", StageTimes: &StageTimes{Predicted: predicted, Elapsed: elapsed, TimeToObjective: time.Second}}
	}
	l := &Log{Requests: map[string]*Request{
		"a": completed(800*time.Millisecond, 1100*time.Millisecond), "b": completed(850*time.Millisecond, 900*time.Millisecond),
		"late": completed(3*time.Second, 700*time.Millisecond),
		"none": completed(0, 0), "refused": {Pipeline: "r"},
	}}
	var table bytes.Buffer
	require.NoError(t, l.WritePredictions(&table))
	require.Regexp(t, `r +in time +2 +850 +850 +1100 +1100 +50 +300 +300 +1\n`, table.String())
	require.Regexp(t, `r +late +1 +3000 +3000 +700 +700 +-2300 +-2300 +-2300 +0\n`, table.String())
	require.Equal(t, 3, strings.Count(table.String(), "\n"))
}

func TestReadErrorNamesLine(t *testing.T) {
	_, err := Read(strings.NewReader("x\nI1203 10:00:01.000000    7 a.go:1] \"Request ended\" request_id=\"a\" elapsed=\"soon\"\n"))
	require.ErrorContains(t, err, "line 2: elapsed")
}
