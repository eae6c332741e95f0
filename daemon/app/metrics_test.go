package app

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/daemon/dev"
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/telemetry"
)

const (
	metricsPage = "../../docs/operations/metrics.md"
	// metricsWait limits a test that fails. Metrics are at most a second old.
	metricsWait = 30 * time.Second
)

// The metrics on the operators' page are those that an instance serves. Otherwise a
// dashboard's panel would stay empty, since its metric was renamed or is never set, or
// operators would miss a metric that isn't on the page.
func TestMetricsPageIsWhatIsServed(t *testing.T) {
	world := startWorld(t)
	addDesired(t, world)
	a := startIn(t, world, "one", "")
	path := a.CallersURL() + "/v1/pipelines/work-order/requests"
	status, problem, _ := send(t, http.MethodPost, path, dev.SampleKey, `{"input":"x"}`, callerapi.HeaderIdempotencyKey, "k")
	require.Equal(t, http.StatusOK, status, problem)
	sendGarbage(t, a.self.Address)
	documented := documentedMetrics(t)
	require.Greater(t, len(documented), 30, "the page's table is read")
	lines := map[string]string{
		"membership_members": `{state="alive"} 1`,
		"requests":           `{result="answered"} 1`,
		"deadline_requests":  `{result="attained",tier="gold"} 1`,
		"status_requests":    ` 1`,
		"routing_targets":    `{pool="engines",state="ready"} 2`,
		"gate_in_flight":     `{pool="orders",rank="0"} 0`,
	}
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		served := servedMetrics(c, a)
		assert.Equal(c, documented, slices.Sorted(maps.Keys(served)))
		for name, line := range lines {
			assert.Contains(c, served[name], telemetry.MetricsPrefix+"_"+name+line)
		}
	}, metricsWait, 50*time.Millisecond)
}

// addDesired adds a pool with a desired state, so that its targets get orders.
func addDesired(t *testing.T, world *dev.World) {
	spec := `{"schema_version":2,"kind":"engine","objective":"cost","slots":1,"checks_fencing":true,"ejection_floor":0.5,
		"desired":{"models":["writer"],"version":"1.0","role":"decode"}}`
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: "drafters"}, Spec: json.RawMessage(spec)}
	_, err := world.Store.Local("operator").Create(t.Context(), platformapi.KindPools, object)
	require.NoError(t, err)
}

// sendGarbage makes the instance refuse a peer connection.
func sendGarbage(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(strings.Repeat("x", 64)))
	require.NoError(t, err)
	_, _ = io.ReadAll(conn) // until the instance closes it
}

var (
	rowStart   = regexp.MustCompile("^\\| (`[a-z_]+`(?:, `[a-z_]+`)*) \\| (?:counter|gauge|timer) \\|")
	quotedName = regexp.MustCompile("`([a-z_]+)`")
)

// documentedMetrics returns the names in the page's table, sorted.
func documentedMetrics(t *testing.T) []string {
	page, err := os.ReadFile(metricsPage)
	require.NoError(t, err)
	var names []string
	for line := range strings.Lines(string(page)) {
		if row := rowStart.FindStringSubmatch(line); row != nil {
			for _, name := range quotedName.FindAllStringSubmatch(row[1], -1) {
				names = append(names, name[1])
			}
		}
	}
	slices.Sort(names)
	return names
}

// servedMetrics returns the lines of the project's own metrics that the instance serves, by
// the metric's name without its prefix.
func servedMetrics(t require.TestingT, a *App) map[string]string {
	response, err := http.Get(a.AdminURL() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	served := make(map[string]string)
	for family := range strings.SplitSeq(string(body), "# HELP ") {
		name, _, _ := strings.Cut(family, " ")
		if own, ok := strings.CutPrefix(name, telemetry.MetricsPrefix+"_"); ok {
			served[own] = family
		}
	}
	return served
}
