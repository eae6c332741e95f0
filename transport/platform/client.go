package platform

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Defaults of Options.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultWatchSlack = 2 * time.Second
)

// unresponsiveDivisor sets when a missing response counts as a failure of the
// platform: after Timeout divided by it, even if the caller gives up before Timeout.
// Otherwise an unresponsive platform would not be detected while all callers have
// short deadlines.
const unresponsiveDivisor = 4

// Options are the settings of a Client; zero values mean the defaults.
type Options struct {
	// BaseURL is the URL of the platform, such as "http://10.0.0.1:7000".
	BaseURL string
	// Instance is the name of this instance; it is sent with each call.
	Instance string
	// HTTP sends the calls; nil means a new client that uses only HTTP/1.1.
	HTTP *http.Client
	// Timeout bounds the time from the start of a call until its response begins, and
	// the time without progress until its end.
	Timeout time.Duration
	// WatchSlack is the time after the end of a watch's wait by which a response
	// must have begun. Without one, the connection is considered silent.
	WatchSlack time.Duration
	// Budget is shared by all clients of the process; nil means a new one.
	Budget *Budget
	// Codec encodes the platform's paths and bodies; nil means the format of
	// package platformapi.
	Codec Codec
}

// Client is a Store over HTTP.
type Client struct {
	options Options
	base    string
	http    *http.Client
	budget  *Budget
}

var _ Store = (*Client)(nil)

// New returns a client without making a call.
func New(options Options) *Client {
	options.Timeout = cmp.Or(options.Timeout, DefaultTimeout)
	options.WatchSlack = cmp.Or(options.WatchSlack, DefaultWatchSlack)
	if options.HTTP == nil {
		options.HTTP = NewHTTPClient(NewTransport())
	}
	if options.Budget == nil {
		options.Budget = NewBudget(BudgetOptions{})
	}
	if options.Codec == nil {
		options.Codec = defaultCodec{}
	}
	return &Client{
		options: options,
		base:    strings.TrimSuffix(options.BaseURL, "/"),
		http:    options.HTTP,
		budget:  options.Budget,
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (*platformapi.Object, error) {
	return c.getObject(ctx, "get "+kind, c.options.Codec.ObjectPath(kind, name))
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) (platformapi.List, error) {
	return c.listPages(ctx, kind, ListQuery{})
}

// ListStale implements Store.
func (c *Client) ListStale(ctx context.Context, kind string) (platformapi.List, error) {
	return c.listPages(ctx, kind, ListQuery{Stale: true})
}

// ListStalePage implements Store.
func (c *Client) ListStalePage(ctx context.Context, kind, after string, limit int) (platformapi.List, error) {
	return c.listPage(ctx, kind, ListQuery{Stale: true, After: after, Limit: limit})
}

func (c *Client) listPage(ctx context.Context, kind string, query ListQuery) (platformapi.List, error) {
	var page platformapi.List
	err := c.read(ctx, "list "+kind, c.options.Codec.ListPath(kind, query), func(body []byte) (err error) {
		page, err = c.options.Codec.DecodeList(body)
		return err
	})
	return page, err
}

// listPages reads and joins the pages of a list. Pages may have different
// revisions. The returned revision is the lowest, so that a watch from it replays
// the changes between two pages instead of missing them.
func (c *Client) listPages(ctx context.Context, kind string, query ListQuery) (platformapi.List, error) {
	var all platformapi.List
	for first := true; ; first = false {
		page, err := c.listPage(ctx, kind, query)
		if err != nil {
			return platformapi.List{}, err
		}
		all.Items = append(all.Items, page.Items...)
		all.Unreadable += page.Unreadable
		if first || page.Revision < all.Revision {
			all.Revision = page.Revision
		}
		if page.Next == "" {
			return all, nil
		}
		query.After = page.Next
	}
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	path := c.options.Codec.ListPath(kind, ListQuery{})
	return c.write(ctx, "create "+kind, http.MethodPost, path, object)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	path := c.options.Codec.ObjectPath(kind, object.Metadata.Name)
	return c.write(ctx, "update "+kind, http.MethodPut, path, object)
}

// UpdateStatus implements Store.
func (c *Client) UpdateStatus(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	path := c.options.Codec.ObjectPath(kind, object.Metadata.Name) + "/status"
	return c.write(ctx, "update status of "+kind, http.MethodPut, path, object)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	path := c.options.Codec.ObjectPath(kind, name)
	if revision != 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	return c.do(ctx, exchange{
		call:              Call{Step: "delete " + kind, Peer: c.base, Write: true},
		class:             ClassWrite,
		method:            http.MethodDelete,
		path:              path,
		timeout:           c.options.Timeout,
		unresponsiveAfter: c.options.Timeout / unresponsiveDivisor,
	})
}

// Watch implements Store. A watch that is the probe after an outage returns
// without waiting, since all other calls are held back until it ends.
func (c *Client) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	var watch platformapi.WatchResponse
	err := c.do(ctx, exchange{
		call:   Call{Step: "watch " + strings.Join(kinds, ","), Peer: c.base},
		class:  ClassRead,
		method: http.MethodGet,
		path:   c.options.Codec.WatchPath(kinds, from, wait),
		probe:  c.options.Codec.WatchPath(kinds, from, 0),
		decode: func(body []byte) (err error) {
			watch, err = c.options.Codec.DecodeWatch(kinds, body)
			return err
		},
		timeout:           wait + c.options.WatchSlack,
		unresponsiveAfter: wait + c.options.WatchSlack,
	})
	return watch, err
}

// Budget returns the budget of the client, for its counts.
func (c *Client) Budget() *Budget { return c.budget }

func (c *Client) getObject(ctx context.Context, step, path string) (*platformapi.Object, error) {
	var object platformapi.Object
	err := c.read(ctx, step, path, func(body []byte) (err error) {
		object, err = c.options.Codec.DecodeObject(body)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &object, nil
}

func (c *Client) read(ctx context.Context, step, path string, decode func([]byte) error) error {
	return c.do(ctx, exchange{
		call:              Call{Step: step, Peer: c.base},
		class:             ClassRead,
		method:            http.MethodGet,
		path:              path,
		decode:            decode,
		timeout:           c.options.Timeout,
		unresponsiveAfter: c.options.Timeout / unresponsiveDivisor,
	})
}

func (c *Client) write(ctx context.Context, step, method, path string, object platformapi.Object) (*platformapi.Object, error) {
	var written platformapi.Object
	err := c.do(ctx, exchange{
		call:   Call{Step: step, Peer: c.base, Write: true},
		class:  ClassWrite,
		method: method,
		path:   path,
		in:     &object,
		decode: func(body []byte) (err error) {
			written, err = c.options.Codec.DecodeObject(body)
			return err
		},
		timeout:           c.options.Timeout,
		unresponsiveAfter: c.options.Timeout / unresponsiveDivisor,
	})
	if err != nil {
		return nil, err
	}
	return &written, nil
}
