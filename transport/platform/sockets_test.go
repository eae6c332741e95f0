package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// TestSockets calls the emulator over TLS on loopback, where the server offers HTTP/2.
// The client must use HTTP/1.1: with HTTP/2, a call that times out leaves its connection
// in use, and if that connection is silent, every later call times out too.
func TestSockets(t *testing.T) {
	e := emulator.New(emulator.Options{})
	handler := e.Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, 1, r.ProtoMajor)
		handler.ServeHTTP(w, r)
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	transport := platform.NewTransport()
	defer transport.CloseIdleConnections()
	transport.ForceAttemptHTTP2 = true
	transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	transport.TLSClientConfig.NextProtos = nil
	client := platform.New(platform.Options{BaseURL: server.URL, HTTP: platform.NewHTTPClient(transport)})

	_, err := client.Create(t.Context(), kind, object("a", "1"))
	require.NoError(t, err)
	e.SetFaults(emulator.Faults{LoseWrites: 1})
	_, err = client.Update(t.Context(), kind, object("a", "2"))
	require.Equal(t, "unknown", class(err))
	o, err := client.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, "2", string(o.Spec))
}
