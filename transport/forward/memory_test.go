package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// peakHeap returns how much the heap has grown at most while play runs, in bytes.
func peakHeap(play func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		play()
	}()
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(2 * time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	}
}

// Guards against targets that send bytes without end, in heads of any form, and together use up the memory of an instance.
func TestEndlessResponsesAtOnceNeedLittleMemory(t *testing.T) {
	const (
		attempts = 50
		most     = 64 << 20
	)
	for name, c := range map[string]struct {
		begin string
		chunk func(n int) string
	}{
		"one long line":  {"HTTP/1.1 200 OK\r\nX: ", func(int) string { return strings.Repeat("x", 4096) }},
		"many lines":     {"HTTP/1.1 200 OK\r\n", func(n int) string { return fmt.Sprintf("%x:\r\n", n) }},
		"one name":       {"HTTP/1.1 200 OK\r\n", func(int) string { return "x:\r\n" }},
		"interim heads":  {"", func(int) string { return "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("x", 4096) + "\r\n\r\n" }},
		"other response": {"HTTP/1.1 200 OK\r\n\r\n", func(int) string { return strings.Repeat("x", 4096) }},
		"no response":    {"", func(int) string { return strings.Repeat("x", 4096) }},
		"chunk sizes":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(int) string { return strings.Repeat("0", 4096) }},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(nc net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				w := bufio.NewWriterSize(nc, 4096)
				_, err := io.WriteString(w, c.begin)
				for n := 0; err == nil; n++ {
					_, err = io.WriteString(w, c.chunk(n))
				}
			})
			client := New(ClientOptions{})
			grown := peakHeap(func() {
				var all sync.WaitGroup
				for range attempts {
					all.Go(func() {
						_, err := do(t, client, address, "", Options{Matches: func(int, http.Header) bool { return false }})
						require.Error(t, err)
					})
				}
				all.Wait()
			})
			t.Logf("%d MB", grown>>20)
			require.Less(t, grown, uint64(most))
		})
	}
}
