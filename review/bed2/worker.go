package bed2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// Run is a request that reached a server.
type Run struct {
	Worker, Version, ID, Path, Body string
	Header                          http.Header
	At                              time.Time
}

// Worker is a stand-in for a server of a service.
type Worker struct {
	ID, Service, Zone string
	Address           string
	// Serve answers a request that the server runs. The headers that every answer has are set.
	Serve func(w http.ResponseWriter, r *http.Request, run Run)

	bed     *Bed
	mu      sync.Mutex
	version string
	born    int64
	// listed is what the store has of the server but its seq.
	listed string
	seq    int
	server *http.Server
	runs   []Run
}

// AddWorker starts a server that lists itself as ready.
func (b *Bed) AddWorker(id, service, zone, version string, serve func(w http.ResponseWriter, r *http.Request, run Run)) (*Worker, error) {
	k := &Worker{ID: id, Service: service, Zone: zone, Serve: serve, bed: b, version: version, born: time.Now().UnixMilli()}
	if err := k.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	k.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			k.mu.Lock()
			up := k.server != nil
			k.mu.Unlock()
			if up {
				k.beat()
			}
		}
	}()
	return k, nil
}

func (k *Worker) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: k}
	k.mu.Lock()
	k.Address, k.server = listener.Addr().String(), server
	k.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the server
	return nil
}

// beat writes the entry if more than its seq has changed, unless the store is down.
func (k *Worker) beat() {
	k.bed.Store.mu.Lock()
	silent := k.bed.Store.silent
	k.bed.Store.mu.Unlock()
	if silent {
		return
	}
	k.mu.Lock()
	k.seq++
	content := fmt.Sprint(k.version, k.born)
	changed := content != k.listed
	k.listed = content
	entry := map[string]any{
		"service": k.Service, "address": k.Address, "zone": k.Zone, "version": k.version, "slots": 32, "state": "ready",
		"cold_left_ms": 0, "seq": k.seq, "born": k.born,
	}
	k.mu.Unlock()
	if changed {
		k.bed.Store.Put("servers", k.ID, entry)
	}
}

// Crash ends the server as the end of its process does: all connections close, and nothing listens.
func (k *Worker) Crash() {
	k.mu.Lock()
	server := k.server
	k.server = nil
	k.mu.Unlock()
	if server != nil {
		_ = server.Close() // it ends either way
	}
}

// Restart starts a crashed server again under its id, at its address, with a version. It writes its entry at once.
func (k *Worker) Restart(version string) error {
	k.mu.Lock()
	k.version, k.born, k.seq = version, time.Now().UnixMilli(), 0
	address := k.Address
	k.mu.Unlock()
	if err := k.listen(address); err != nil {
		return err
	}
	k.beat()
	return nil
}

// Version returns the version of the server's software.
func (k *Worker) Version() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}

// Runs returns the requests that the server has begun to run.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Run(nil), k.runs...)
}

// ServeHTTP implements http.Handler.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.ID {
		w.Header().Set("Instance-Id", k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", k.ID)
		return
	}
	k.mu.Lock()
	run := Run{k.ID, k.version, r.Header.Get("Request-Id"), r.URL.RequestURI(), string(body), r.Header.Clone(), time.Now()}
	k.runs = append(k.runs, run)
	k.mu.Unlock()
	w.Header().Set("Response-Stamp", k.ID+"."+run.ID)
	k.Serve(w, r, run)
}

// StreamEvents returns a Serve that sends numbered events, each with the version that made it, from the one after
// Last-Event-Id on.
func StreamEvents(count int, pause time.Duration) func(w http.ResponseWriter, r *http.Request, run Run) {
	return func(w http.ResponseWriter, r *http.Request, run Run) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for i := last + 1; i <= count; i++ {
			if !sleep(r.Context(), pause) {
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, run.Version, run.Worker); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // a broken connection ends the context
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
