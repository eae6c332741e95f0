package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedPipe is a pipe whose writes block until open is closed.
type blockedPipe struct {
	open chan struct{}
	bytes.Buffer
}

func (s *blockedPipe) Write(p []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(p)
}

// If nobody reads the log and the pipe is full, requests must continue: Write does not
// block, lines that do not fit are dropped, and their number is logged once the log is
// read again.
func TestLogNeverBlocks(t *testing.T) {
	pipe := &blockedPipe{open: make(chan struct{})}
	q := NewLineQueue(pipe)
	const lines = 3 * queueCapacity
	for i := range lines {
		n, err := q.Write(fmt.Appendf(nil, "line %d\n", i))
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.Positive(t, q.Dropped())
	close(pipe.open)
	q.Close()
	text := pipe.String()
	written := strings.Count(text, "line ")
	require.EqualValues(t, lines, int64(written)+q.Dropped())
	require.Equal(t, q.Dropped(), reportedDrops(t, text))
}

// reportedDrops returns the sum of the dropped lines that a log reports. There may be
// several reports, of the lines dropped before the writer first ran and of later ones.
func reportedDrops(t *testing.T, text string) int64 {
	var total int64
	for line := range strings.Lines(text) {
		count, ok := strings.CutPrefix(line, "W log lines dropped count=")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(count), 10, 64)
		require.NoError(t, err)
		total += n
	}
	return total
}

// A burst of lines is limited to the bound, whether or not the log is read.
func TestLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	q := NewLineQueue(&out)
	for range 10 * linesBurst {
		_, _ = q.Write([]byte("line\n"))
	}
	q.Close()
	require.Less(t, strings.Count(out.String(), "line\n"), 2*linesBurst)
}

// Guards against a planned stop that ends with a panic because a timer logs while the log is closed.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	q := NewLineQueue(io.Discard)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				_, err := q.Write([]byte("line\n"))
				require.NoError(t, err)
			}
		})
	}
	q.Close()
	q.Close()
	writers.Wait()
	dropped := q.Dropped()
	_, err := q.Write([]byte("line\n"))
	require.NoError(t, err)
	require.Equal(t, dropped+1, q.Dropped())
}
