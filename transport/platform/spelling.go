package platform

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Spelling is how a platform writes the object API: its paths and its bodies.
// What the calls mean, and what their errors tell, is the same for all.
type Spelling interface {
	// ListPath is the path of a kind, for lists and for new objects.
	ListPath(kind string, q ListQuery) string
	ObjectPath(kind, name string) string
	WatchPath(kinds []string, from uint64, wait time.Duration) string
	EncodeObject(o platformapi.Object) ([]byte, error)
	DecodeObject(body []byte) (platformapi.Object, error)
	DecodeList(body []byte) (platformapi.List, error)
	// DecodeWatch reads the changes that a watch of kinds was answered with.
	DecodeWatch(kinds []string, body []byte) (platformapi.WatchResponse, error)
	// DecodeConflict reads the object of a conflict; nil if there is none.
	DecodeConflict(body []byte) *platformapi.Object
}

// ListQuery narrows a list.
type ListQuery struct {
	// After continues a list behind a name.
	After string
	// Limit bounds the objects of the page; 0 is the platform's own bound.
	Limit int
	// Stale lets the platform answer from the past.
	Stale bool
}

// plainSpelling is that of package platformapi.
type plainSpelling struct{}

func (plainSpelling) ListPath(kind string, q ListQuery) string {
	query := url.Values{}
	if q.Stale {
		query.Set("stale", "1")
	}
	if q.After != "" {
		query.Set("after", q.After)
	}
	if q.Limit > 0 {
		query.Set("limit", strconv.Itoa(q.Limit))
	}
	path := platformapi.PathObjects + url.PathEscape(kind)
	if len(query) == 0 {
		return path
	}
	return path + "?" + query.Encode()
}

func (plainSpelling) ObjectPath(kind, name string) string {
	return platformapi.PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (plainSpelling) WatchPath(kinds []string, from uint64, wait time.Duration) string {
	query := url.Values{
		"kinds":   {strings.Join(kinds, ",")},
		"watch":   {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return platformapi.PathObjects + platformapi.KindAny + "?" + query.Encode()
}

func (plainSpelling) EncodeObject(o platformapi.Object) ([]byte, error) { return json.Marshal(o) }

func (plainSpelling) DecodeObject(body []byte) (o platformapi.Object, err error) {
	err = json.Unmarshal(body, &o)
	return o, err
}

func (plainSpelling) DecodeList(body []byte) (l platformapi.List, err error) {
	err = json.Unmarshal(body, &l)
	return l, err
}

func (plainSpelling) DecodeWatch(_ []string, body []byte) (w platformapi.WatchResponse, err error) {
	err = json.Unmarshal(body, &w)
	return w, err
}

func (plainSpelling) DecodeConflict(body []byte) *platformapi.Object {
	var conflict platformapi.Conflict
	if json.Unmarshal(body, &conflict) != nil {
		return nil
	}
	return conflict.Current
}
