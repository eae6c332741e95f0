package stages

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

// Guards against labels that telemetry drops, so that the series of all services are one.
func TestMetricsKeepTheirLabels(t *testing.T) {
	tel, err := telemetry.Start(t.Context(), telemetry.Options{LogOutput: io.Discard})
	require.NoError(t, err)
	m := newMetrics(tel.Scope)
	m.binding(map[string]bool{"search": true, "ranking": false})
	m.callFill("search", 3, 8)
	m.reservations(gather.ReservationCounts{Given: 5, Used: 4})
	require.NoError(t, tel.Shutdown(t.Context()))
	w := httptest.NewRecorder()
	tel.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, series := range []string{
		`ivyhollow_stages_binding{service="search"} 1`, `ivyhollow_stages_binding{service="ranking"} 0`,
		`ivyhollow_stages_call_pieces{service="search"} 3`, `ivyhollow_stages_call_max_pieces{service="search"} 8`,
		`ivyhollow_stages_reservations{outcome="given"} 5`, `ivyhollow_stages_reservations{outcome="used"} 4`,
	} {
		require.Contains(t, w.Body.String(), series)
	}
}
