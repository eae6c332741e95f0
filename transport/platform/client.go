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

// patienceShare of Timeout without an answer counts against the platform. Else
// callers with short deadlines of their own would never find it silent.
const patienceShare = 4

// Options are the settings of a Client; zero values mean the defaults.
type Options struct {
	// BaseURL is the platform's address, such as "http://10.0.0.1:7000".
	BaseURL string
	// Instance is sent with each call.
	Instance string
	// HTTP carries the calls; nil means a client of its own that speaks
	// HTTP/1.1 alone.
	HTTP *http.Client
	// Timeout bounds each call from its sending to the end of its answer.
	Timeout time.Duration
	// WatchSlack is added to a watch's wait. A watch without an answer by then
	// waits on a silent connection.
	WatchSlack time.Duration
	// Budget is shared by everything in the process; nil means a new one.
	Budget *Budget
	// Spelling is how the platform writes paths and bodies; nil means that of
	// package platformapi.
	Spelling Spelling
}

// Client is a Store over HTTP.
type Client struct {
	options Options
	base    string
	http    *http.Client
	budget  *Budget
}

var _ Store = (*Client)(nil)

// New returns a client; it makes no call yet.
func New(options Options) *Client {
	options.Timeout = cmp.Or(options.Timeout, DefaultTimeout)
	options.WatchSlack = cmp.Or(options.WatchSlack, DefaultWatchSlack)
	if options.HTTP == nil {
		options.HTTP = NewHTTPClient(NewTransport())
	}
	if options.Budget == nil {
		options.Budget = NewBudget(BudgetOptions{})
	}
	if options.Spelling == nil {
		options.Spelling = plainSpelling{}
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
	return c.readObject(ctx, "get "+kind, c.options.Spelling.ObjectPath(kind, name))
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
	err := c.read(ctx, "list "+kind, c.options.Spelling.ListPath(kind, query), func(body []byte) (err error) {
		page, err = c.options.Spelling.DecodeList(body)
		return err
	})
	return page, err
}

// listPages joins the pages of a list. Pages may be of different revisions. The
// revision given back is the lowest, so that a watch from it replays every
// change that came between two pages instead of missing it.
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
	path := c.options.Spelling.ListPath(kind, ListQuery{})
	return c.write(ctx, "create "+kind, http.MethodPost, path, object)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	path := c.options.Spelling.ObjectPath(kind, object.Metadata.Name)
	return c.write(ctx, "update "+kind, http.MethodPut, path, object)
}

// UpdateStatus implements Store.
func (c *Client) UpdateStatus(ctx context.Context, kind string, object platformapi.Object) (*platformapi.Object, error) {
	path := c.options.Spelling.ObjectPath(kind, object.Metadata.Name) + "/status"
	return c.write(ctx, "update status of "+kind, http.MethodPut, path, object)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	path := c.options.Spelling.ObjectPath(kind, name)
	if revision != 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	return c.do(ctx, exchange{
		call:     Call{Step: "delete " + kind, Peer: c.base, Write: true},
		class:    ClassWrite,
		method:   http.MethodDelete,
		path:     path,
		timeout:  c.options.Timeout,
		patience: c.options.Timeout / patienceShare,
	})
}

// Watch implements Store. While the platform is being tried again after an
// outage it answers at once instead of waiting, see Budget.
func (c *Client) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) (platformapi.WatchResponse, error) {
	var watch platformapi.WatchResponse
	err := c.do(ctx, exchange{
		call:   Call{Step: "watch " + strings.Join(kinds, ","), Peer: c.base},
		class:  ClassRead,
		method: http.MethodGet,
		path:   c.options.Spelling.WatchPath(kinds, from, wait),
		probe:  c.options.Spelling.WatchPath(kinds, from, 0),
		decode: func(body []byte) (err error) {
			watch, err = c.options.Spelling.DecodeWatch(kinds, body)
			return err
		},
		timeout:  wait + c.options.WatchSlack,
		patience: wait + c.options.WatchSlack,
	})
	return watch, err
}

// Budget returns the budget of calls, for its counts.
func (c *Client) Budget() *Budget { return c.budget }

func (c *Client) readObject(ctx context.Context, step, path string) (*platformapi.Object, error) {
	var object platformapi.Object
	err := c.read(ctx, step, path, func(body []byte) (err error) {
		object, err = c.options.Spelling.DecodeObject(body)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &object, nil
}

func (c *Client) read(ctx context.Context, step, path string, decode func([]byte) error) error {
	return c.do(ctx, exchange{
		call:     Call{Step: step, Peer: c.base},
		class:    ClassRead,
		method:   http.MethodGet,
		path:     path,
		decode:   decode,
		timeout:  c.options.Timeout,
		patience: c.options.Timeout / patienceShare,
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
			written, err = c.options.Spelling.DecodeObject(body)
			return err
		},
		timeout:  c.options.Timeout,
		patience: c.options.Timeout / patienceShare,
	})
	if err != nil {
		return nil, err
	}
	return &written, nil
}
