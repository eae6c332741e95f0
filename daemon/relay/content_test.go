package relay

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// TestRepeatsHaveOneDigest guards against a repeat that passes for another request by what
// its caller may vary: id, headers, the port in its host, the method.
func TestRepeatsHaveOneDigest(t *testing.T) {
	ask := func(method, url, id, account, body string) *request {
		return &request{
			r: httptest.NewRequest(method, url, nil), route: &routes.Route{Host: "host.example"},
			call: exchange.CallerRequest{ID: id, ResumeAfter: id}, account: account, body: []byte(body),
		}
	}
	first := ask("POST", "http://host.example/a?b=c", "1", "account", "body")
	again := ask("PUT", "http://HOST.example:80/a?b=c", "2", "account", "body")
	again.r.Header.Set("Anything", "else")
	require.Equal(t, first.digest(), again.digest())
	for _, other := range []*request{
		ask("POST", "http://host.example/a?b=d", "1", "account", "body"),
		ask("POST", "http://host.example/a", "1", "account", "body"),
		ask("POST", "http://host.example/a?b=c", "1", "other", "body"),
		ask("POST", "http://host.example/a?b=c", "1", "account", "other"),
	} {
		require.NotEqual(t, first.digest(), other.digest())
	}
}
