package client

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	// watchWait is how long one watch call waits for a change.
	watchWait = 20 * time.Second
	// watchRetry is the wait before a watch that failed is tried again, unless
	// the platform asks for more.
	watchRetryDelay = 2 * time.Second
)

// pacer waits; tests put their own in place.
type sleepFunc func(ctx context.Context, d time.Duration) error

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (a *app) watchCommand() *cli.Command {
	return &cli.Command{
		Name:          "watch",
		Usage:         "show the records of a kind, then each change until interrupted",
		ArgsUsage:     "KIND",
		ShellComplete: a.completeKinds,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usagef("watch takes 1 argument (KIND), not %d", cmd.Args().Len())
			}
			return a.watch(ctx, cmd)
		},
	}
}

// follower follows one kind and shows each revision of a record once.
type recordWatcher struct {
	app      *app
	store    Store
	kind     string
	json     bool
	revision uint64
	shown    map[string]uint64
}

func (a *app) watch(ctx context.Context, cmd *cli.Command) error {
	kind, store, err := a.kindAndStore(cmd)
	if err != nil {
		return err
	}
	f := &recordWatcher{app: a, store: store, kind: kind, json: cmd.String(flagOutput) == outputJSON, shown: map[string]uint64{}}
	if err := f.relist(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := f.watchOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// step waits for changes once. An outage of the platform is shown and waited
// out: the watch goes on from where it was.
func (f *recordWatcher) watchOnce(ctx context.Context) error {
	changes, err := f.store.Watch(ctx, []string{f.kind}, f.revision, watchWait)
	var unavailable *platform.UnavailableError
	switch {
	case ctx.Err() != nil:
		return nil
	case errors.Is(err, platform.ErrCompacted):
		err = f.relist(ctx)
	case err == nil:
		return f.showEvents(changes)
	}
	if !errors.As(err, &unavailable) {
		return err
	}
	f.app.printError(err)
	// The pause fails only when the context ends, which ends the watch as well.
	_ = f.app.sleep(ctx, max(watchRetryDelay, unavailable.RetryAfter))
	return nil
}

func (f *recordWatcher) showEvents(changes platformapi.WatchResponse) error {
	for i := range changes.Events {
		if err := f.show(&changes.Events[i]); err != nil {
			return err
		}
	}
	f.revision = max(f.revision, changes.Revision)
	return nil
}

// relist shows what has changed since the last list or watch, deletes included.
func (f *recordWatcher) relist(ctx context.Context) error {
	list, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for i := range list.Items {
		present[list.Items[i].Metadata.Name] = true
		if err := f.show(&platformapi.Event{Object: list.Items[i]}); err != nil {
			return err
		}
	}
	for name := range f.shown {
		if present[name] {
			continue
		}
		gone := platformapi.Object{Metadata: platformapi.Metadata{Name: name, Revision: list.Revision}}
		if err := f.show(&platformapi.Event{Object: gone, Deleted: true}); err != nil {
			return err
		}
	}
	f.revision = max(f.revision, list.Revision)
	return nil
}

// watchLine is one change, as JSON on a line of its own.
type watchLine struct {
	Deleted bool `json:"deleted,omitempty"`
	document
}

func (f *recordWatcher) show(event *platformapi.Event) error {
	meta := event.Object.Metadata
	if meta.Revision <= f.shown[meta.Name] {
		return nil
	}
	f.shown[meta.Name] = meta.Revision
	if event.Deleted {
		delete(f.shown, meta.Name)
	}
	if f.json {
		return json.NewEncoder(f.app.Stdout).Encode(watchLine{event.Deleted, document{f.kind, event.Object}})
	}
	row := newStatusRow(f.kind, &event.Object)
	if event.Deleted {
		row.State, row.Reason = resultDeleted, ""
	}
	_, err := fmt.Fprintf(f.app.Stdout, "%s/%s\t%d\t%s\t%s\n", f.kind, meta.Name, meta.Revision, row.State, row.Reason)
	return err
}

func decodeSpec(object *platformapi.Object, into any) error {
	err := json.Unmarshal(object.Spec, into)
	return errors.Wrapf(err, "read spec of %s", object.Metadata.Name)
}
