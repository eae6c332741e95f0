package platform

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Codec encodes the paths and bodies of a platform's object API. The meaning of the
// calls and of their errors is the same for all codecs.
type Codec interface {
	// ListPath returns the path of a kind, for lists and for new objects.
	ListPath(kind string, q ListQuery) string
	ObjectPath(kind, name string) string
	WatchPath(kinds []string, from uint64, wait time.Duration) string
	EncodeObject(o platformapi.Object) ([]byte, error)
	DecodeObject(body []byte) (platformapi.Object, error)
	DecodeList(body []byte) (platformapi.List, error)
	// DecodeWatch decodes the response to a watch of kinds.
	DecodeWatch(kinds []string, body []byte) (platformapi.WatchResponse, error)
	// DecodeConflict returns the current object from the response to a write
	// that conflicted; nil if the response contains none.
	DecodeConflict(body []byte) *platformapi.Object
}

// ListQuery holds the parameters of a list.
type ListQuery struct {
	// After is the name after which the list begins; empty means at the start.
	After string
	// Limit bounds the objects of the page; 0 means the platform's page size.
	Limit int
	// Stale allows the platform to return an older state.
	Stale bool
}

// defaultCodec is the Codec of the format of package platformapi.
type defaultCodec struct{}

func (defaultCodec) ListPath(kind string, q ListQuery) string {
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

func (defaultCodec) ObjectPath(kind, name string) string {
	return platformapi.PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (defaultCodec) WatchPath(kinds []string, from uint64, wait time.Duration) string {
	query := url.Values{
		"kinds":   {strings.Join(kinds, ",")},
		"watch":   {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return platformapi.PathObjects + platformapi.KindAny + "?" + query.Encode()
}

func (defaultCodec) EncodeObject(o platformapi.Object) ([]byte, error) { return json.Marshal(o) }

func (defaultCodec) DecodeObject(body []byte) (o platformapi.Object, err error) {
	err = json.Unmarshal(body, &o)
	return o, err
}

func (defaultCodec) DecodeList(body []byte) (l platformapi.List, err error) {
	err = json.Unmarshal(body, &l)
	return l, err
}

func (defaultCodec) DecodeWatch(_ []string, body []byte) (w platformapi.WatchResponse, err error) {
	err = json.Unmarshal(body, &w)
	return w, err
}

func (defaultCodec) DecodeConflict(body []byte) *platformapi.Object {
	var conflict platformapi.Conflict
	if json.Unmarshal(body, &conflict) != nil {
		return nil
	}
	return conflict.Current
}
