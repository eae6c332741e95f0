package bed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Host and Key are the host of all routes and the key of the only client account.
const (
	Host = "host.example"
	Key  = "review-key-1"
)

// Config returns a configuration with one client account.
func Config(routes, services []map[string]any) map[string]any {
	for _, r := range routes {
		r["host"], r["anonymous"] = Host, false
	}
	for _, s := range services {
		s["health_path"], s["max_connections"], s["protocol"], s["tls"] = "/health", 100, "h1", false
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{Key}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// Entry returns the entry of a target.
func Entry(service, address, zone, state string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
		"state": state, "cold_left_ms": 0, "seq": 1,
	}
}

// Answer is what a client has received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if there is no complete answer.
	Err error
}

// NewID returns the id of a client's attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request to an instance and reads the answer.
func Send(client *http.Client, i *Instance, method, path, id string, deadline time.Duration, header map[string]string, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.Front+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Answer{response.StatusCode, response.Header, string(text), err}
}
