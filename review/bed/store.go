package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pathObjects = "/api/objects/"
	// pageSize bounds the entries of a page.
	pageSize = 500
	maxWait  = 30 * time.Second
)

// Metadata describes an object.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object.
type event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// Store is a stand-in for the platform's store. Its answers are linearizable, and it keeps all
// history.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  []event
	changed  chan struct{}
}

func startStore(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: l.Addr().String(), revision: 1, objects: map[string]map[string]Object{},
		changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, s) }() // ends with the process
	return s, nil
}

// Put writes an object, and returns when that is acknowledged.
func (s *Store) Put(kind, name string, spec any) (time.Time, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return time.Time{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, Object{Metadata: Metadata{Name: name}, Spec: encoded})
	return time.Now(), nil
}

// Remove removes an object, and returns when that is acknowledged.
func (s *Store) Remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
	return time.Now()
}

// write stores an object; mu is held.
func (s *Store) write(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.note(event{Object: o, kind: kind})
	return o
}

// remove removes an object; mu is held.
func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(event{Object: o, Deleted: true, kind: kind})
}

func (s *Store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, pathObjects)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	name, part, _ := strings.Cut(name, "/")
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut, r.Method == http.MethodDelete:
		s.change(w, r, kind, name, part)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	entries := []Object{}
	for _, name := range names[:min(len(names), pageSize)] {
		entries = append(entries, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "as_of": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // without it the call doesn't wait
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	var o Object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	existing, ok := s.objects[kind][name]
	condition := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64) // 0 matches no object
	}
	switch {
	case r.Method == http.MethodPost && ok, ok && condition != 0 && condition != existing.Metadata.Revision:
		reply(w, http.StatusConflict, existing)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(kind, o))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, existing)
	case part == "status":
		existing.Status = o.Status
		reply(w, http.StatusOK, s.write(kind, existing))
	default:
		existing.Spec = o.Spec
		reply(w, http.StatusOK, s.write(kind, existing))
	}
}
