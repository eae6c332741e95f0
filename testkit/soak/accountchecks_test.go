package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// Guards against a check that passes a small account that is served less often than the large one, or an
// account that isn't served after the faults.
func TestChecksShareOfAccounts(t *testing.T) {
	begin := time.Now()
	calm := begin.Add(time.Minute)
	cases := map[string]struct {
		large, small, calm int
		violated           bool
	}{
		"alike":                            {50, 50, 20, false},
		"small less often by a fifth":      {50, 40, 20, false},
		"small less often by more":         {50, 38, 20, true},
		"small more often":                 {10, 90, 20, false},
		"not served after the faults":      {50, 50, 17, true},
		"served nine of ten after them":    {50, 50, 18, false},
		"small not served at all, nor any": {0, 0, 20, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := &testbed{}
			tb.overload.spans = []span{{begin, begin.Add(time.Second)}}
			var calls []accountCall
			add := func(account string, at time.Time, sent, served int) {
				for _, path := range []string{"/once/a", "/stream-staged/a"} {
					for i := range sent {
						a := callResult{path: path, account: account, began: at, complete: true, status: http.StatusServiceUnavailable}
						if i < served {
							a.status = http.StatusOK
						}
						calls = append(calls, accountCall{account: account, tries: []callResult{a}})
					}
				}
			}
			add(largeAccount, begin, 100, c.large)
			add(largeAccount, calm.Add(time.Second), 20, 20)
			for _, account := range smallAccounts {
				add(account, begin, 100, c.small)
				add(account, calm.Add(time.Second), 20, c.calm)
			}
			tb.checkAccounts(calls, calm)
			require.Equal(t, c.violated, len(tb.violations) > 0, tb.violations)
		})
	}
}

// Guards against checks that pass a false refusal, or one without a time to come back.
func TestChecksRefusals(t *testing.T) {
	const told = time.Second
	cases := map[string]struct {
		status             int
		retryAfter         time.Duration
		path               string
		executed, violated bool
	}{
		"refused":                  {503, told, "/once/a", false, false},
		"without a time":           {503, 0, "/once/a", false, true},
		"429 without a time":       {429, 0, "/get/a", false, true},
		"ran":                      {503, told, "/once/a", true, true},
		"ran, 429":                 {429, told, "/once/a", true, true},
		"ran, 408":                 {408, told, "/once/a", true, true},
		"ran, 421":                 {421, told, "/once/a", true, true},
		"ran, may be repeated":     {503, told, "/get/a", true, false},
		"ran, answered with a 502": {502, 0, "/once/a", true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := &testbed{}
			a := callResult{path: c.path, once: c.path == "/once/a", status: c.status, retryAfter: c.retryAfter, complete: true}
			tb.checkResult(a, []standin.Arrival{{Executed: c.executed}})
			tb.checkRefusals([]callResult{a})
			require.Equal(t, c.violated, len(tb.violations) > 0, tb.violations)
		})
	}
}
