package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const required = "[instance]\nname = a\ndata_centre = dc-1\n[platform]\nurl = http://127.0.0.1:1\n"

// The example file is the operators' only list of settings. It must contain every key
// of the code, in the same order and with the same default.
func TestExampleMatchesCode(t *testing.T) {
	data, err := os.ReadFile("example.ini")
	require.NoError(t, err)
	got, err := Load("example.ini")
	require.NoError(t, err)

	want := Default()
	want.Instance.Name = "entry-1"
	want.Instance.DataCentre = "dc-1"
	want.Platform.URL = "http://127.0.0.1:8500"
	require.Equal(t, want, got)

	lines := strings.Split(string(data), "\n")
	index := scanLines(data)
	last := 0
	for _, f := range got.fields() {
		line := index.keys[settingKey{f.section, f.key}]
		require.Greaterf(t, line, last, "[%s] %s is missing or out of order", f.section, f.key)
		require.Truef(t, strings.HasPrefix(lines[line-2], "# "), "[%s] %s has no comment", f.section, f.key)
		last = line
	}
	require.Len(t, index.keys, len(got.fields()))
}

func TestLoadReadsEveryKey(t *testing.T) {
	file := `
[instance]
name = b ; inline comment
data_centre = dc-2
cluster = c
capacity = 0.192
first_start = true
[listen]
callers = 10.0.0.1:1
peers = [fd00::1]:2
admin = 0.0.0.0:3
metrics = 10.0.0.1:4
[platform]
url = https://platform:4/base
timeout = 5ms
calls_per_second = 2.5
data_centre_drains = true
[peers]
seeds = 10.0.0.2:2, 10.0.0.3:2
tls_cert = /c#1\
tls_key = /k
tls_ca = /a
cleartext = true
[limits]
max_body_bytes = 1
max_header_bytes = 2048
header_timeout = 3s
idle_timeout = 4s
max_streams = 5
max_in_flight = 6
[routing]
subset = 7
[shutdown]
grace = 8s
balancer_delay = 0s
[telemetry]
otlp_endpoint = http://10.0.0.9:4318/v1/traces
log_level = 2
[status]
ring_size = 12
retention = 10s
[claims]
retention = 11h
[orders]
longest_order = 12s
[retries]
share = 0.5
slack = 13
window = 14s
[warmup]
overage = 1.5
slack = 15
[scheduling]
account_sharing = true
account_weights = a=2, b = 0.5
retry_reservations = true
result_flow_control = true
cost_placement = true
`
	path := filepath.Join(t.TempDir(), "instance.ini")
	require.NoError(t, os.WriteFile(path, []byte(file), 0o600))
	got, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, Settings{
		Instance:  Instance{"b", "dc-2", "c", 0.192, true},
		Listen:    Listen{"10.0.0.1:1", "[fd00::1]:2", "0.0.0.0:3", "10.0.0.1:4"},
		Platform:  Platform{"https://platform:4/base", 5 * time.Millisecond, 2.5, true},
		Peers:     Peers{[]string{"10.0.0.2:2", "10.0.0.3:2"}, `/c#1\`, "/k", "/a", true},
		Limits:    Limits{1, 2048, 3 * time.Second, 4 * time.Second, 5, 6},
		Routing:   Routing{7},
		Shutdown:  Shutdown{8 * time.Second, 0},
		Telemetry: Telemetry{"http://10.0.0.9:4318/v1/traces", 2},
		Status:    Status{12, 10 * time.Second},
		Claims:    Claims{11 * time.Hour},
		Orders:    Orders{12 * time.Second},
		Retries:   Retries{0.5, 13, 14 * time.Second},
		Warmup:    Warmup{1.5, 15},
		Scheduling: Scheduling{
			AccountSharing: true, AccountWeights: map[string]float64{"a": 2, "b": 0.5},
			RetryReservations: true, ResultFlowControl: true, CostPlacement: true,
		},
	}, got)
	require.True(t, got.Peers.TLS())
}

// If a file contains mistakes, the instance must not start with defaults in their
// place, and all mistakes must be reported at once with their lines.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		file string
		want []string
	}{
		"everything missing": {"", []string{
			"[instance] name: must be set",
			"[instance] data_centre: must be set",
			"[platform] url: must be set",
		}},
		"unknown key":         {required + "tiemout = 1s", []string{"line 6: [platform] tiemout: unknown key"}},
		"unknown section":     {required + "[limit]\nmax_streams = 1", []string{"line 6: [limit]: unknown section"}},
		"key before sections": {"x = 1\n" + required, []string{"line 1: [] x: key before the first section"}},
		"repeated key":        {required + "timeout = 1s\ntimeout = 2s", []string{"line 7: [platform] timeout: repeats the key of line 6"}},
		"repeated in a second section of the name": {required + "[instance]\nname = c",
			[]string{"line 7: [instance] name: repeats the key of line 2"}},
		"not an assignment": {required + "timeout 1s", []string{"line 6: [platform]: not a section header, a comment or key = value"}},
		"broken header":     {required + "[limits\n", []string{"line 6: [platform]: a section header is [name]"}},
		"several lines":     {required + "timeout = `1s", []string{"line 6: [platform] timeout: values of several lines are not supported"}},
		"not a duration":    {required + "timeout = 5", []string{`line 6: [platform] timeout: "5" is not a duration, such as 500ms, 30s or 10m`}},
		"too long":          {required + "timeout = 2m", []string{"line 6: [platform] timeout: 2m0s is out of range: want 1ms to 1m0s"}},
		"not a number":      {required + "calls_per_second = NaN", []string{"line 6: [platform] calls_per_second: NaN is out of range: want 0.1 to 10000"}},
		"not whole":         {required + "[limits]\nmax_streams = 1.5", []string{`line 7: [limits] max_streams: "1.5" is not a whole number`}},
		"negative":          {required + "[routing]\nsubset = -1", []string{"line 7: [routing] subset: -1 is out of range: want 0 to 1048576"}},
		"overflow":          {required + "[routing]\nsubset = 99999999999999999999", []string{`line 7: [routing] subset: "99999999999999999999" is not a whole number`}},
		"empty default":     {required + "timeout =", []string{"line 6: [platform] timeout: must be set"}},
		"host name":         {required + "[listen]\nadmin = localhost:1", []string{`line 7: [listen] admin: "localhost:1" is not an IP address with a port, such as 127.0.0.1:8080`}},
		"bad seed":          {required + "[peers]\nseeds = 10.0.0.1:1,, 10.0.0.1:0", []string{`line 7: [peers] seeds: "" is not the IP address and port of a peer`}},
		"secret in URL":     {required + "[telemetry]\notlp_endpoint = http://u:hunter2@h/", []string{"line 7: [telemetry] otlp_endpoint: a URL here can't hold credentials"}},
		"cleartext peers off loopback": {required + "[listen]\npeers = 10.0.0.1:1",
			[]string{"line 7: [listen] peers: without mutual TLS ([peers] tls_cert, tls_key, tls_ca) only a loopback address is allowed"}},
		"incomplete mutual TLS": {required + "[peers]\ntls_cert = /c\ntls_key =", []string{
			"[peers] tls_ca: must be set: mutual TLS needs tls_cert, tls_key and tls_ca",
			"line 8: [peers] tls_key: must be set: mutual TLS needs tls_cert, tls_key and tls_ca",
		}},
		"too few status entries": {required + "[limits]\nmax_in_flight = 6\n[status]\nring_size = 11",
			[]string{"line 9: [status] ring_size: must be at least twice [limits] max_in_flight"}},
		"peers unspecified": {required + "[peers]\ntls_cert=/c\ntls_key=/k\ntls_ca=/a\n[listen]\npeers = [::]:1",
			[]string{"line 11: [listen] peers: other instances are told to connect to this address: it can't be unspecified"}},
		"weight of nothing":       {required + "[scheduling]\naccount_sharing = true\naccount_weights = a", []string{`line 8: [scheduling] account_weights: "a" is not NAME=WEIGHT`}},
		"weight out of range":     {required + "[scheduling]\naccount_sharing = true\naccount_weights = a=0", []string{`line 8: [scheduling] account_weights: weight of "a": 0 is out of range: want 0.001 to 1000`}},
		"weight that's no number": {required + "[scheduling]\naccount_sharing = true\naccount_weights = a=NaN", []string{`line 8: [scheduling] account_weights: weight of "a": NaN is out of range: want 0.001 to 1000`}},
		"two weights":             {required + "[scheduling]\naccount_sharing = true\naccount_weights = a=1, a=2", []string{`line 8: [scheduling] account_weights: "a" has two weights`}},
		"weights without shares":  {required + "[scheduling]\naccount_weights = a=2", []string{"line 7: [scheduling] account_weights: needs [scheduling] account_sharing = true"}},
		"all at once": {"[instance]\nname = UPPER\nhuh\n[platfrom]\nurl = x\n[limits]\nmax_streams = none\n", []string{
			"[instance] data_centre: must be set",
			"[platform] url: must be set",
			`line 2: [instance] name: "UPPER" is not a name: want up to 63 of a-z, 0-9, '.' and '-', with a letter or digit at both ends`,
			"line 3: [instance]: not a section header, a comment or key = value",
			"line 4: [platfrom]: unknown section",
			`line 7: [limits] max_streams: "none" is not a whole number`,
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, faults := Parse([]byte(c.file))
			require.Equal(t, strings.Join(c.want, "\n"), faults.Error())
		})
	}
}

func TestLoadWrapsTypedFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(path, []byte(required+"x = 1"), 0o600))
	_, err := Load(path)
	var fault Fault
	require.True(t, errors.As(err, &fault))
	require.Equal(t, Fault{Section: "platform", Key: "x", Line: 6, Reason: "unknown key"}, fault)
	_, err = Load(path + ".missing")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Arbitrary input, such as a truncated or binary file, must result in faults and never
// in a panic or in a line that is silently ignored.
func TestParseAnyBytes(t *testing.T) {
	pieces := rapid.SampledFrom([]string{"[", "]", "=", "\n", "name", "[limits]\n", "`", `"""`, "\\", "\r", "#", ";", "%(x)s", "\x00", "\ufeff", " ", "max_streams = 3\n"})
	rapid.Check(t, func(t *rapid.T) {
		data := strings.Join(rapid.SliceOf(pieces).Draw(t, "pieces"), "")
		s, faults := Parse([]byte(required + data))
		if len(faults) == 0 {
			require.Contains(t, []int{3, Default().Limits.MaxStreams}, s.Limits.MaxStreams)
		}
	})
}
