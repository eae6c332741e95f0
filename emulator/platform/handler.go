package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// maxBodyBytes bounds a request's body. It exceeds the limit on values, since JSON
// with white space can be longer than its compact value.
const maxBodyBytes = 2*platformapi.MaxValueBytes + 4096

// Handler returns a handler of the object API, the weight store and the admin
// paths.
func (s *Store) Handler() http.Handler {
	const objects = platformapi.PathObjects
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objects+"{kind}", s.serveKind)
	mux.HandleFunc("POST "+objects+"{kind}", s.serveCreate)
	mux.HandleFunc("GET "+objects+"{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT "+objects+"{kind}/{name}", s.serveUpdate)
	mux.HandleFunc("PUT "+objects+"{kind}/{name}/status", s.serveUpdate)
	mux.HandleFunc("DELETE "+objects+"{kind}/{name}", s.serveDelete)
	mux.HandleFunc("GET "+platformapi.PathWeights+"{name}", s.serveWeights)
	s.registerAdmin(mux)
	return mux
}

func (s *Store) serveKind(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.serveWatch(w, r)
		return
	}
	limit, ok := parseNumber(w, query.Get("limit"))
	if !ok {
		return
	}
	page, failed := s.list(r.Context(), requestOf(r), query.Get("after"), int(limit), query.Get("stale") == "1")
	respond(w, r, page, failed)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, ok := parseNumber(w, query.Get("watch"))
	if !ok {
		return
	}
	wait, ok := parseNumber(w, query.Get("wait_ms"))
	if !ok {
		return
	}
	kinds := []string{r.PathValue("kind")}
	if kinds[0] == platformapi.KindAny {
		kinds = strings.Split(query.Get("kinds"), ",")
	}
	waitMS := int(min(wait, platformapi.MaxWatchWaitMS))
	watch, failed := s.watch(r.Context(), requestOf(r), kinds, from, milliseconds(waitMS))
	respond(w, r, watch, failed)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	object, failed := s.get(r.Context(), requestOf(r), r.PathValue("name"))
	respond(w, r, object, failed)
}

func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	created, failed := s.write(r.Context(), requestOf(r), func(t *table) (*platformapi.Object, *refusal) {
		return t.create(r.PathValue("kind"), object)
	})
	respond(w, r, created, failed)
}

func (s *Store) serveUpdate(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	object.Metadata.Name = r.PathValue("name")
	statusOnly := strings.HasSuffix(r.URL.Path, "/status")
	updated, failed := s.write(r.Context(), requestOf(r), func(t *table) (*platformapi.Object, *refusal) {
		return t.update(r.PathValue("kind"), object, statusOnly)
	})
	respond(w, r, updated, failed)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	revision, ok := parseNumber(w, r.URL.Query().Get("revision"))
	if !ok {
		return
	}
	_, failed := s.write(r.Context(), requestOf(r), func(t *table) (*platformapi.Object, *refusal) {
		return nil, t.delete(r.PathValue("kind"), r.PathValue("name"), revision)
	})
	respond(w, r, struct{}{}, failed)
}

func requestOf(r *http.Request) request {
	return request{instance: r.Header.Get(platformapi.HeaderInstance), object: r.PathValue("kind")}
}

// respond writes a success or a refusal, or fails the connection.
func respond(w http.ResponseWriter, r *http.Request, body any, failed *callFailure) {
	switch {
	case failed == nil:
		writeJSON(w, http.StatusOK, body)
	case failed.refusal != nil:
		writeRefusal(w, failed.refusal)
	case failed.failure == FailSilence:
		<-r.Context().Done()
	default:
		resetConnection(w)
	}
}

func writeRefusal(w http.ResponseWriter, refused *refusal) {
	if refused.status == http.StatusTooManyRequests || refused.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	writeJSON(w, refused.status, platformapi.Conflict{Error: refused.message, Current: refused.current})
}

// resetConnection closes the connection without a response, with an RST over TCP.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails, a FIN serves the tests as well
	}
	_ = conn.Close()
}

func readObject(w http.ResponseWriter, r *http.Request) (platformapi.Object, bool) {
	var object platformapi.Object
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeRefusal(w, refuse(http.StatusRequestEntityTooLarge, "body too large"))
		return object, false
	}
	if err := json.Unmarshal(body, &object); err != nil {
		writeRefusal(w, refuse(http.StatusBadRequest, "body is not an object"))
		return object, false
	}
	return object, true
}

// parseNumber parses a query value; the empty string means 0.
func parseNumber(w http.ResponseWriter, text string) (uint64, bool) {
	if text == "" {
		return 0, true
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		writeRefusal(w, refuse(http.StatusBadRequest, "bad number"))
		return 0, false
	}
	return value, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller disconnected
}
