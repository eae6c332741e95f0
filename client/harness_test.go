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

// memory is a store in memory. Before a call it consults its script, which may
// fail the call or do something in between.
type fakeStore struct {
	objects  map[string]map[string]platformapi.Object
	revision uint64
	events   []platformapi.Event
	calls    []string
	// before runs before each call, lost after each write that took effect.
	beforeCall func(call string) error
	afterWrite func(call string) error
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]map[string]platformapi.Object{}}
}

func (m *fakeStore) begin(call string) error {
	m.calls = append(m.calls, call)
	if m.beforeCall == nil {
		return nil
	}
	return m.beforeCall(call)
}

func (m *fakeStore) end(call string) error {
	if m.afterWrite == nil {
		return nil
	}
	return m.afterWrite(call)
}

// set writes as somebody else does.
func (m *fakeStore) set(kind, name, spec, status string) {
	m.revision++
	if m.objects[kind] == nil {
		m.objects[kind] = map[string]platformapi.Object{}
	}
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: name, Revision: m.revision}, Spec: json.RawMessage(spec), Status: json.RawMessage(status)}
	m.objects[kind][name] = object
	m.events = append(m.events, platformapi.Event{Kind: kind, Object: object})
}

func (m *fakeStore) Get(_ context.Context, kind, name string) (*platformapi.Object, error) {
	if err := m.begin("get"); err != nil {
		return nil, err
	}
	object, ok := m.objects[kind][name]
	if !ok {
		return nil, &platform.CallError{Err: platform.ErrNotFound}
	}
	return &object, nil
}

func (m *fakeStore) List(_ context.Context, kind string) (platformapi.List, error) {
	list := platformapi.List{Revision: m.revision}
	for _, object := range m.objects[kind] {
		list.Items = append(list.Items, object)
	}
	slices.SortFunc(list.Items, func(a, b platformapi.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return list, m.begin("list")
}

func (m *fakeStore) Create(_ context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return m.write("create", kind, object)
}

func (m *fakeStore) Update(_ context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	return m.write("update", kind, object)
}

func (m *fakeStore) write(call, kind string, object platformapi.Object) (*platformapi.Object, error) {
	if err := m.begin(call); err != nil {
		return nil, err
	}
	current, exists := m.objects[kind][object.Metadata.Name]
	if exists != (call == "update") || current.Metadata.Revision != object.Metadata.Revision {
		return nil, &platform.ConflictError{Current: &current}
	}
	m.set(kind, object.Metadata.Name, string(object.Spec), string(current.Status))
	current = m.objects[kind][object.Metadata.Name]
	return &current, m.end(call)
}

func (m *fakeStore) Delete(_ context.Context, kind, name string, revision uint64) error {
	if err := m.begin("delete"); err != nil {
		return err
	}
	current, ok := m.objects[kind][name]
	switch {
	case !ok:
		return &platform.CallError{Err: platform.ErrNotFound}
	case current.Metadata.Revision != revision:
		return &platform.ConflictError{Current: &current}
	}
	m.revision++
	delete(m.objects[kind], name)
	return m.end("delete")
}

func (m *fakeStore) Watch(_ context.Context, kinds []string, from uint64, _ time.Duration) (platformapi.WatchResponse, error) {
	watch := platformapi.WatchResponse{Revision: m.revision}
	err := m.begin("watch")
	for _, event := range m.events {
		if event.Object.Metadata.Revision > from && slices.Contains(kinds, event.Kind) {
			watch.Events = append(watch.Events, event)
		}
	}
	return watch, err
}

// once makes a script that acts at the first call of a name.
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

// bench runs the client against a store in memory.
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

func (b *harness) run(args ...string) int {
	b.stdout.Reset()
	b.stderr.Reset()
	return Run(b.ctx, args, Options{
		Stdin: strings.NewReader(b.stdin), Stdout: &b.stdout, Stderr: &b.stderr, HTTP: b.http,
		Getenv:    func(name string) string { return b.env[name] },
		OpenStore: func(string) Store { return b.store },
	})
}

// file writes a file of records.
func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "records.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
