package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// fakeStore is an in-memory store. Its hooks can fail a call, or change records during
// the call.
type fakeStore struct {
	objects  map[string]map[string]platformapi.Object
	revision uint64
	events   []platformapi.Event
	calls    []string
	// beforeCall runs before each call, afterWrite after each write that took
	// effect. The call returns the error of the hook.
	beforeCall func(call string) error
	afterWrite func(call string) error
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]map[string]platformapi.Object{}}
}

func (s *fakeStore) begin(call string) error {
	s.calls = append(s.calls, call)
	if s.beforeCall == nil {
		return nil
	}
	return s.beforeCall(call)
}

func (s *fakeStore) end(call string) error {
	if s.afterWrite == nil {
		return nil
	}
	return s.afterWrite(call)
}

// set writes a record without running hooks or checking the revision. Called by a test,
// it simulates a write of another client.
func (s *fakeStore) set(kind, name, spec, status string) {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platformapi.Object{}
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: name, Revision: s.revision}, Spec: json.RawMessage(spec), Status: json.RawMessage(status)}
	s.objects[kind][name] = object
	s.events = append(s.events, platformapi.Event{Kind: kind, Object: object})
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (*platformapi.Object, error) {
	if err := s.begin("get"); err != nil {
		return nil, err
	}
	object, ok := s.objects[kind][name]
	if !ok {
		return nil, &platform.CallError{Err: platform.ErrNotFound}
	}
	return &object, nil
}

func (s *fakeStore) List(_ context.Context, kind string) (platformapi.List, error) {
	list := platformapi.List{Revision: s.revision}
	for _, object := range s.objects[kind] {
		list.Items = append(list.Items, object)
	}
	slices.SortFunc(list.Items, func(a, b platformapi.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return list, s.begin("list")
}

func (s *fakeStore) Create(_ context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return s.write("create", kind, object)
}

func (s *fakeStore) Update(_ context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return s.write("update", kind, object)
}

func (s *fakeStore) write(call, kind string, object platformapi.Object) (*platformapi.Object, error) {
	if err := s.begin(call); err != nil {
		return nil, err
	}
	current, exists := s.objects[kind][object.Metadata.Name]
	if exists != (call == "update") || current.Metadata.Revision != object.Metadata.Revision {
		return nil, &platform.ConflictError{Current: &current}
	}
	s.set(kind, object.Metadata.Name, string(object.Spec), string(current.Status))
	current = s.objects[kind][object.Metadata.Name]
	return &current, s.end(call)
}

func (s *fakeStore) Delete(_ context.Context, kind, name string, revision uint64) error {
	if err := s.begin("delete"); err != nil {
		return err
	}
	current, ok := s.objects[kind][name]
	switch {
	case !ok:
		return &platform.CallError{Err: platform.ErrNotFound}
	case current.Metadata.Revision != revision:
		return &platform.ConflictError{Current: &current}
	}
	s.revision++
	delete(s.objects[kind], name)
	return s.end("delete")
}

func (s *fakeStore) Watch(_ context.Context, kinds []string, from uint64, _ time.Duration) (platformapi.WatchResponse, error) {
	watch := platformapi.WatchResponse{Revision: s.revision}
	err := s.begin("watch")
	for _, event := range s.events {
		if event.Object.Metadata.Revision > from && slices.Contains(kinds, event.Kind) {
			watch.Events = append(watch.Events, event)
		}
	}
	return watch, err
}

// onFirst returns a hook that runs act at the first call of the given name.
func onFirst(name string, act func() error) func(string) error {
	done := false
	return func(call string) error {
		if call != name || done {
			return nil
		}
		done = true
		return act()
	}
}

func unknownEffect() error {
	return &platform.UnknownEffectError{Err: errors.New("connection reset")}
}

func unavailable() error { return &platform.UnavailableError{Err: errors.New("refused")} }

// harness runs the client against a fake store.
type harness struct {
	store  *fakeStore
	http   *http.Client
	env    map[string]string
	stdin  string
	ctx    context.Context
	stdout bytes.Buffer
	stderr bytes.Buffer
}

func newHarness() *harness {
	return &harness{store: newFakeStore(), stdin: "from stdin", ctx: context.Background(), env: map[string]string{envPlatform: "http://store", envKey: "demo-key"}}
}

func (h *harness) run(args ...string) int {
	h.stdout.Reset()
	h.stderr.Reset()
	return Run(h.ctx, args, Options{
		Stdin: strings.NewReader(h.stdin), Stdout: &h.stdout, Stderr: &h.stderr, HTTP: h.http,
		Getenv:    func(name string) string { return h.env[name] },
		OpenStore: func(string) Store { return h.store },
	})
}

// writeTempFile writes text to a temporary file and returns its path.
func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "records.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
