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
	// watchRetryDelay is the minimum delay before a failed watch is retried; the
	// platform may ask for a longer one.
	watchRetryDelay = 2 * time.Second
)

// sleepFunc waits for d or until ctx ends.
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

// recordWatcher watches the records of one kind and prints each revision of a
// record once.
type recordWatcher struct {
	app   *app
	store Store
	kind  string
	json  bool
	// revision is the revision of the last list or watch.
	revision uint64
	// shown holds the last printed revision of each record, by name.
	shown map[string]uint64
}

func (a *app) watch(ctx context.Context, cmd *cli.Command) error {
	kind, store, err := a.kindAndStore(cmd)
	if err != nil {
		return err
	}
	w := &recordWatcher{app: a, store: store, kind: kind, json: cmd.String(flagOutput) == outputJSON, shown: map[string]uint64{}}
	if err := w.relist(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := w.watchOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// watchOnce waits once for changes. It prints an outage of the platform and waits
// before it returns, so that the next call resumes at the same revision.
func (w *recordWatcher) watchOnce(ctx context.Context) error {
	changes, err := w.store.Watch(ctx, []string{w.kind}, w.revision, watchWait)
	var unavailable *platform.UnavailableError
	switch {
	case ctx.Err() != nil:
		return nil
	case errors.Is(err, platform.ErrCompacted):
		err = w.relist(ctx)
	case err == nil:
		return w.showEvents(changes)
	}
	if !errors.As(err, &unavailable) {
		return err
	}
	w.app.printError(err)
	// The sleep fails only when the context ends, which ends the watch as well.
	_ = w.app.sleep(ctx, max(watchRetryDelay, unavailable.RetryAfter))
	return nil
}

func (w *recordWatcher) showEvents(changes platformapi.WatchResponse) error {
	for i := range changes.Events {
		if err := w.show(&changes.Events[i]); err != nil {
			return err
		}
	}
	w.revision = max(w.revision, changes.Revision)
	return nil
}

// relist prints the changes since the last list or watch, deletions included.
func (w *recordWatcher) relist(ctx context.Context) error {
	list, err := w.store.List(ctx, w.kind)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for i := range list.Items {
		present[list.Items[i].Metadata.Name] = true
		if err := w.show(&platformapi.Event{Object: list.Items[i]}); err != nil {
			return err
		}
	}
	for name := range w.shown {
		if present[name] {
			continue
		}
		deleted := platformapi.Object{Metadata: platformapi.Metadata{Name: name, Revision: list.Revision}}
		if err := w.show(&platformapi.Event{Object: deleted, Deleted: true}); err != nil {
			return err
		}
	}
	w.revision = max(w.revision, list.Revision)
	return nil
}

// watchLine is one change in JSON output, printed on one line.
type watchLine struct {
	Deleted bool `json:"deleted,omitempty"`
	document
}

func (w *recordWatcher) show(event *platformapi.Event) error {
	meta := event.Object.Metadata
	if meta.Revision <= w.shown[meta.Name] {
		return nil
	}
	w.shown[meta.Name] = meta.Revision
	if event.Deleted {
		delete(w.shown, meta.Name)
	}
	if w.json {
		return json.NewEncoder(w.app.Stdout).Encode(watchLine{event.Deleted, document{w.kind, event.Object}})
	}
	row := newStatusRow(w.kind, &event.Object)
	if event.Deleted {
		row.State, row.Reason = resultDeleted, ""
	}
	_, err := fmt.Fprintf(w.app.Stdout, "%s/%s\t%d\t%s\t%s\n", w.kind, meta.Name, meta.Revision, row.State, row.Reason)
	return err
}

func decodeSpec(object *platformapi.Object, into any) error {
	err := json.Unmarshal(object.Spec, into)
	return errors.Wrapf(err, "read spec of %s", object.Metadata.Name)
}
