package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/state/routes"
)

// dialect reads nothing of a call but its id.
type dialect struct{ exchange.Dialect }

func (dialect) ParseCall(*http.Request) (exchange.Call, error) { return exchange.Call{ID: "a"}, nil }

func (dialect) StampAnswer(http.Header, string) {}

// A request has a key that nobody knows, and whether a newer configuration knows it is
// asked at a store that doesn't answer. The instance stops meanwhile. Its caller must
// hear that the request hasn't run: not nothing, and not that the key is wrong.
func TestStopEndsTheWaitForAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &routes.Route{Name: "r", Host: "example.com", Prefix: "/"}
		table := routes.Build(routes.Table{NeedsKeys: true}, []*routes.Route{route}, nil)
		asked := make(chan struct{})
		s := New(Options{
			Dialect: dialect{}, Scope: tally.NoopScope,
			Table: func() *routes.Table { return table },
			Confirm: func(ctx context.Context) bool {
				close(asked)
				<-ctx.Done()
				return false
			},
		})
		w := httptest.NewRecorder()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/", strings.NewReader("")))
		}()
		<-asked
		s.Drain(time.Now().Add(time.Second))
		<-answered
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "close", w.Header().Get("Connection"))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	})
}
