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

// An on-call engineer asks where the time of a late answer went: what the holder of the
// queue says of it and what its own instance says are in different logs.
func TestReadJoinsTheLinesOfARequest(t *testing.T) {
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

// Predictions are compared with what was taken. Requests without stages or taken over have
// none and would pass for well predicted; late ones are predicted far longer and would
// hide how the others are.
func TestPredictionsAreCompared(t *testing.T) {
	made := func(predicted, taken time.Duration) *Request {
		return &Request{Pipeline: "r", StageTimes: &StageTimes{Predicted: predicted, Elapsed: taken, TimeToObjective: time.Second}}
	}
	l := &Log{Requests: map[string]*Request{
		"a": made(800*time.Millisecond, 1100*time.Millisecond), "b": made(850*time.Millisecond, 900*time.Millisecond),
		"late": made(3*time.Second, 700*time.Millisecond),
		"none": made(0, 0), "refused": {Pipeline: "r"},
	}}
	var table bytes.Buffer
	require.NoError(t, l.WritePredictions(&table))
	require.Regexp(t, `r +in time +2 +850 +850 +1100 +1100 +50 +300 +300 +1\n`, table.String())
	require.Regexp(t, `r +late +1 +3000 +3000 +700 +700 +-2300 +-2300 +-2300 +0\n`, table.String())
	require.Equal(t, 3, strings.Count(table.String(), "\n"))
}

func TestReadNamesTheLineAtFault(t *testing.T) {
	_, err := Read(strings.NewReader("x\nI1203 10:00:01.000000    7 a.go:1] \"Request ended\" request_id=\"a\" elapsed=\"soon\"\n"))
	require.ErrorContains(t, err, "line 2: elapsed")
}
