package bed2

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deletion   bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

// Store is a stand-in for the platform's store: linearizable, with one revision counter, pages of lists and
// watches. Every call holds the lock while it reads or writes.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	silent   bool
}

const (
	storePage = 500
	storeWait = 30 * time.Second
)

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }() // ends with the process
	return s, nil
}

// Put writes an object as an operator or a server does, and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		o = object{Metadata: metadata{Name: name, Finalizers: []string{}}}
	}
	if ok && bytes.Equal(o.Spec, body) {
		return o.Metadata.Revision // a write that changes nothing is no event
	}
	o.Spec = body
	return s.write(kind, o)
}

// SetSilent makes the store answer nothing, as if it were down, or answer again. Calls that arrive while it is
// silent are never answered, nor done.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notify()
}

// Get returns the spec of an object; nil if there is none.
func (s *Store) Get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *Store) write(kind string, o object) uint64 {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind, s.revision, event{Object: o}})
	s.notify()
	return s.revision
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	parts := strings.Split(path, "/")
	if r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch") {
		s.watch(w, r, parts[0])
		return
	}
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	status, body := s.call(r, parts, in)
	s.mu.Unlock()
	reply(w, status, body)
}

func (s *Store) call(r *http.Request, parts []string, in object) (int, any) {
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	existing, ok := s.objects[kind][name]
	condition := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		if existing, ok = s.objects[kind][in.Metadata.Name]; ok {
			return http.StatusConflict, existing
		}
		s.write(kind, object{Metadata: metadata{Name: in.Metadata.Name, Finalizers: []string{}}, Spec: in.Spec})
		return http.StatusOK, s.objects[kind][in.Metadata.Name]
	case !ok:
		return http.StatusNotFound, map[string]string{}
	case r.Method == http.MethodGet:
		return http.StatusOK, existing
	case condition != 0 && condition != existing.Metadata.Revision:
		return http.StatusConflict, existing
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		existing.Metadata.Revision = s.revision
		s.history = append(s.history, change{kind, s.revision, event{existing, true}})
		s.notify()
		return http.StatusOK, existing
	case len(parts) > 2 && bytes.Equal(existing.Status, in.Status), len(parts) == 2 && bytes.Equal(existing.Spec, in.Spec):
		return http.StatusOK, existing // a write that changes nothing is no event
	case len(parts) > 2:
		existing.Status = in.Status
	default:
		existing.Spec = in.Spec
	}
	s.write(kind, existing)
	return http.StatusOK, s.objects[kind][name]
}

func (s *Store) list(kind, after string) (int, any) {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	entries := []object{}
	for _, name := range names[:min(len(names), storePage)] {
		entries = append(entries, s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"entries": entries, "has_more": len(names) > storePage, "as_of": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, storeWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		changed, revision, silent := s.changed, s.revision, s.silent
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c.event)
			}
		}
		s.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done() // the watch is lost
			return
		case len(events) > 0 || ended:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
