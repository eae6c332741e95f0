package platform

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"sort"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

var (
	kindPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._:~@=+|-]{0,252}$`)
)

// refusal is an unsuccessful response with its HTTP status.
type refusal struct {
	status  int
	message string
	current *platformapi.Object
}

func refuse(status int, message string) *refusal {
	return &refusal{status: status, message: message}
}

// change is one entry of the history. before and after are nil if the object
// didn't exist.
type change struct {
	revision uint64
	kind     string
	before   *platformapi.Object
	after    *platformapi.Object
}

// table holds the objects and their history. Its owner must lock it. Stored objects
// are never modified in place, so that readers can retain them.
type table struct {
	revision   uint64
	kinds      map[string]map[string]*platformapi.Object
	history    []change
	maxHistory int
	// compacted is the revision of the newest change dropped from history.
	compacted uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newTable(maxHistory int) *table {
	return &table{
		kinds:      make(map[string]map[string]*platformapi.Object),
		maxHistory: maxHistory,
		changed:    make(chan struct{}),
	}
}

func (t *table) get(kind, name string) *platformapi.Object { return t.kinds[kind][name] }

func (t *table) create(kind string, object platformapi.Object) (*platformapi.Object, *refusal) {
	name := object.Metadata.Name
	if refused := checkNames(kind, name); refused != nil {
		return nil, refused
	}
	spec, status, refused := compactValues(object)
	if refused != nil {
		return nil, refused
	}
	if current := t.get(kind, name); current != nil {
		return nil, conflict("exists", current)
	}
	return t.put(kind, nil, platformapi.Object{
		Metadata: platformapi.Metadata{Name: name},
		Spec:     spec,
		Status:   status,
	}), nil
}

// update replaces the spec, or the status if statusOnly.
func (t *table) update(kind string, object platformapi.Object, statusOnly bool) (*platformapi.Object, *refusal) {
	current, refused := t.getAtRevision(kind, object.Metadata.Name, object.Metadata.Revision)
	if refused != nil {
		return nil, refused
	}
	next := *current
	if statusOnly {
		next.Status = object.Status
	} else {
		next.Spec = object.Spec
	}
	next.Spec, next.Status, refused = compactValues(next)
	if refused != nil {
		return nil, refused
	}
	if bytes.Equal(next.Spec, current.Spec) && bytes.Equal(next.Status, current.Status) {
		return current, nil
	}
	return t.put(kind, current, next), nil
}

func (t *table) delete(kind, name string, revision uint64) *refusal {
	current, refused := t.getAtRevision(kind, name, revision)
	if refused != nil {
		return refused
	}
	delete(t.kinds[kind], name)
	t.record(kind, current, nil)
	return nil
}

// getAtRevision returns the object if its revision matches or revision is 0, and
// refuses the call otherwise.
func (t *table) getAtRevision(kind, name string, revision uint64) (*platformapi.Object, *refusal) {
	if refused := checkNames(kind, name); refused != nil {
		return nil, refused
	}
	current := t.get(kind, name)
	if current == nil {
		return nil, refuse(http.StatusNotFound, "no such object")
	}
	if revision != 0 && revision != current.Metadata.Revision {
		return nil, conflict("revision differs", current)
	}
	return current, nil
}

func (t *table) put(kind string, before *platformapi.Object, next platformapi.Object) *platformapi.Object {
	next.Metadata.Revision = t.revision + 1
	if t.kinds[kind] == nil {
		t.kinds[kind] = make(map[string]*platformapi.Object)
	}
	t.kinds[kind][next.Metadata.Name] = &next
	t.record(kind, before, &next)
	return &next
}

func (t *table) record(kind string, before, after *platformapi.Object) {
	t.revision++
	t.history = append(t.history, change{revision: t.revision, kind: kind, before: before, after: after})
	if excess := len(t.history) - t.maxHistory; excess > 0 {
		t.compacted = t.history[excess-1].revision
		t.history = t.history[excess:]
	}
	t.notify()
}

// notify wakes the waiting watches.
func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// dropHistory drops all changes; watches from an earlier revision get 410.
func (t *table) dropHistory() {
	t.history = nil
	t.compacted = t.revision
}

// objectsBefore returns the objects of a kind as they were the given number of
// revisions ago, as far as the history reaches, and their revision.
func (t *table) objectsBefore(kind string, age uint64) (map[string]*platformapi.Object, uint64) {
	age = min(age, uint64(len(t.history)))
	if age == 0 {
		return t.kinds[kind], t.revision
	}
	objects := maps.Clone(t.kinds[kind])
	if objects == nil {
		objects = make(map[string]*platformapi.Object)
	}
	undone := t.history[uint64(len(t.history))-age:]
	for i := len(undone) - 1; i >= 0; i-- {
		if undone[i].kind == kind {
			revert(objects, undone[i])
		}
	}
	return objects, undone[0].revision - 1
}

func revert(objects map[string]*platformapi.Object, c change) {
	if c.before == nil {
		delete(objects, c.after.Metadata.Name)
		return
	}
	objects[c.before.Metadata.Name] = c.before
}

// pageOf returns one page of objects, ordered by name.
func pageOf(objects map[string]*platformapi.Object, after string, limit int) platformapi.List {
	names := make([]string, 0, len(objects))
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := platformapi.List{Items: []platformapi.Object{}}
	size := 0
	for _, name := range names {
		object := objects[name]
		size += valueSize(object)
		if len(page.Items) > 0 && (len(page.Items) >= limit || size > platformapi.MaxPageBytes) {
			page.Next = page.Items[len(page.Items)-1].Metadata.Name
			break
		}
		page.Items = append(page.Items, *object)
	}
	return page
}

// eventsSince returns the changes of the kinds after a revision, as many as fit one
// response, and the revision at which the next watch continues.
func (t *table) eventsSince(kinds []string, from uint64) (platformapi.WatchResponse, *refusal) {
	watch := platformapi.WatchResponse{Events: []platformapi.Event{}, Revision: t.revision}
	if from < t.compacted || from > t.revision {
		return watch, refuse(http.StatusGone, "history is gone")
	}
	first := sort.Search(len(t.history), func(i int) bool { return t.history[i].revision > from })
	size := 0
	for _, c := range t.history[first:] {
		if !slices.Contains(kinds, c.kind) {
			continue
		}
		event := c.event()
		size += valueSize(&event.Object)
		if len(watch.Events) > 0 && (len(watch.Events) >= platformapi.MaxPageItems || size > platformapi.MaxPageBytes) {
			watch.Revision = c.revision - 1
			return watch, nil
		}
		watch.Events = append(watch.Events, event)
	}
	return watch, nil
}

// event returns the event of a change. For a deletion it has the last object with
// the revision of the deletion.
func (c change) event() platformapi.Event {
	if c.after != nil {
		return platformapi.Event{Kind: c.kind, Object: *c.after}
	}
	object := *c.before
	object.Metadata.Revision = c.revision
	return platformapi.Event{Kind: c.kind, Object: object, Deleted: true}
}

func conflict(message string, current *platformapi.Object) *refusal {
	return &refusal{status: http.StatusConflict, message: message, current: current}
}

func checkNames(kind, name string) *refusal {
	if !kindPattern.MatchString(kind) || !namePattern.MatchString(name) {
		return refuse(http.StatusBadRequest, "bad kind or name")
	}
	return nil
}

// compactValues returns spec and status in compact form, or refuses invalid ones.
func compactValues(object platformapi.Object) (spec, status json.RawMessage, refused *refusal) {
	spec, err := compact(object.Spec)
	if err != nil {
		return nil, nil, refuse(http.StatusBadRequest, "spec is not JSON")
	}
	status, err = compact(object.Status)
	if err != nil {
		return nil, nil, refuse(http.StatusBadRequest, "status is not JSON")
	}
	if len(spec)+len(status) > platformapi.MaxValueBytes {
		return nil, nil, refuse(http.StatusRequestEntityTooLarge, "value too large")
	}
	return spec, status, nil
}

func compact(value json.RawMessage) (json.RawMessage, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	if err := json.Compact(&out, value); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func valueSize(object *platformapi.Object) int { return len(object.Spec) + len(object.Status) }
