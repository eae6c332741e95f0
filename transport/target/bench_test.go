package target_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
	"github.com/ivyhollow/ivyhollow/transport/target"
)

// BenchmarkRunOverhead alternates between Run and a plain POST of the same bytes to
// the same server, and reports the ratio of their times.
func BenchmarkRunOverhead(b *testing.B) {
	call := attempt("x")
	answer, err := json.Marshal(targetapi.RunResponse{AttemptID: call.AttemptID, Output: "out"})
	require.NoError(b, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(targetapi.HeaderAttempt, call.AttemptID)
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	call.Address = server.Listener.Addr().String()
	client := target.New(target.Options{})
	defer client.Close()
	body, err := json.Marshal(call.Run)
	require.NoError(b, err)

	var bare, run time.Duration
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		response, err := http.Post(server.URL+targetapi.PathRun, contentType, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
		middle := time.Now()
		if _, _, err := client.Run(b.Context(), call); err != nil {
			b.Fatal(err)
		}
		bare += middle.Sub(began)
		run += time.Since(middle)
	}
	b.ReportMetric(float64(run)/float64(bare), "run/bare")
}

const contentType = "application/json"
