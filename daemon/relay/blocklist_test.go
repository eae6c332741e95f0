package relay

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/quarantine"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
	"github.com/ivyhollow/ivyhollow/daemon/blocklist"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// A retry must have the digest of the first request, whatever its caller may vary: the ID, headers,
// the port of its host, the method. Otherwise a request that crashes targets would pass for another
// one.
func TestRetriesHaveSameDigest(t *testing.T) {
	newRequest := func(method, url, id, account, body string) *request {
		return &request{
			r: httptest.NewRequest(method, url, nil), route: &routes.Route{Host: "host.example"},
			call: exchange.CallerRequest{ID: id, ResumeAfter: id}, account: account, body: []byte(body),
		}
	}
	first := newRequest("POST", "http://host.example/a?b=c", "1", "account", "body")
	again := newRequest("PUT", "http://HOST.example:80/a?b=c", "2", "account", "body")
	again.r.Header.Set("Anything", "else")
	require.Equal(t, first.digest(), again.digest())
	for _, other := range []*request{
		newRequest("POST", "http://host.example/a?b=d", "1", "account", "body"),
		newRequest("POST", "http://host.example/a", "1", "account", "body"),
		newRequest("POST", "http://host.example/a?b=c", "1", "other", "body"),
		newRequest("POST", "http://host.example/a?b=c", "1", "account", "other"),
	} {
		require.NotEqual(t, first.digest(), other.digest())
	}
}

// Requests with a common part of their prompts must have its digest in common, whatever else they
// hold. Otherwise a part that crashes targets could not be recognised.
func TestRequestsShareDigestsOfParts(t *testing.T) {
	parts := func(service string, ids ...string) []quarantine.Digest {
		q := &request{service: service}
		for i, id := range ids {
			q.call.Prefix = append(q.call.Prefix, routing.PrefixPart{ID: id, Tokens: i})
		}
		return q.sharedParts()
	}
	bad := quarantine.DigestOfPart("engine", "bad")
	require.Contains(t, parts("engine", "a", "bad", "own-1"), bad)
	require.Contains(t, parts("engine", "bad", "own-2"), bad)
	require.Equal(t, parts("engine", "a", "bad", "own-1"), parts("engine", "a", "bad", "a", "bad", "own-2"))
	require.NotContains(t, parts("engine", "a", "bad"), bad, "the last part is the request's own")
	require.NotContains(t, parts("other", "a", "bad", "own-1"), bad)
	require.Empty(t, parts("engine"))
	require.Empty(t, parts("engine", "own"))
}

// verdictRecords are records with one verdict for all requests.
type verdictRecords struct {
	blocklist.None
	state     quarantine.State
	remaining time.Duration
}

func (r verdictRecords) Empty() bool { return false }

func (r verdictRecords) Judge(quarantine.Suspects) quarantine.Verdict {
	return quarantine.Verdict{State: r.state, Remaining: r.remaining}
}

// A part of a request's prompt may be blocked while the request waits for its turn at a target. It
// must not be sent then.
func TestRequestBlockedBeforeItsSendIsNotSent(t *testing.T) {
	for _, c := range []struct {
		state            quarantine.State
		onTrial, allowed bool
	}{
		{quarantine.Allowed, false, true},
		{quarantine.OnTrial, false, false},
		{quarantine.OnTrial, true, true},
		{quarantine.Blocked, true, false},
	} {
		q := pacedRequest(&granter{})
		q.sendAt, q.onTrial = time.Now(), c.onTrial
		options := q.sendOptions(routing.Target{Incarnation: "e"})
		q.relay.options.Blocklist = verdictRecords{state: c.state}
		require.Equal(t, c.allowed, options.Allowed(), "%+v", c)
	}
}
