package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// maxLackingTold bounds the targets that a pool's state names one by one.
const maxListedLacking = 32

// writtenState is the pool's state as it was written last.
type storedState struct {
	revision uint64
	spec     []byte
}

// writeState tells operators what the pool's targets have against what is
// desired. It writes only what changed, so that a pool at rest costs nothing.
func (k *Controller) writeState(ctx context.Context, members []Member) {
	entry, held := k.describeState(members)
	if !held {
		return
	}
	spec, err := json.Marshal(entry)
	if err != nil || bytes.Equal(spec, k.stored.spec) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.StoreTimeout)
	defer cancel()
	object := platformapi.Object{Metadata: platformapi.Metadata{Name: k.opts.Pool, Revision: k.stored.revision}, Spec: spec}
	var stored *platformapi.Object
	if object.Metadata.Revision == 0 {
		stored, err = k.opts.Store.Create(ctx, platformapi.KindOrders, object)
	} else {
		stored, err = k.opts.Store.Update(ctx, platformapi.KindOrders, object)
	}
	if err == nil {
		k.stored = storedState{revision: stored.Metadata.Revision, spec: spec}
		return
	}
	k.handleStateWriteError(entry, err)
}

// stateNotWritten learns from a conflict what stands in the store. Guard: a
// holder that was paused wakes and tells of its targets as they were. The state
// of a higher fencing number stays as it is.
func (k *Controller) handleStateWriteError(mine platformapi.OrdersEntry, err error) {
	k.stored = storedState{}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		klog.V(1).InfoS("orders: state not written", "pool", k.opts.Pool, "err", err)
		return
	}
	var theirs platformapi.OrdersEntry
	if json.Unmarshal(conflict.Current.Spec, &theirs) == nil && theirs.Fencing > mine.Fencing {
		return
	}
	k.stored.revision = conflict.Current.Metadata.Revision
	k.wake()
}

// state describes the members as they were read last.
func (k *Controller) describeState(members []Member) (platformapi.OrdersEntry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	number, held := k.lease.Held(k.opts.Now())
	entry := platformapi.OrdersEntry{
		DesiredRevision: k.desired.Revision,
		Fencing:         number,
		Targets:         len(members),
	}
	for _, m := range members {
		r := k.observations[m.Incarnation]
		if r.fencing == number && r.revision == k.desired.Revision && len(r.missing) == 0 {
			entry.Complete++
			continue
		}
		entry.Lacking = append(entry.Lacking, platformapi.LackingTarget{Incarnation: m.Incarnation, Lacks: r.describeMissing()})
	}
	slices.SortFunc(entry.Lacking, func(a, b platformapi.LackingTarget) int {
		return strings.Compare(a.Incarnation, b.Incarnation)
	})
	entry.Lacking = entry.Lacking[:min(len(entry.Lacking), maxListedLacking)]
	return entry, held
}

// text lists what a target lacks; nothing when it couldn't be read.
func (r observation) describeMissing() []string {
	lacks := make([]string, 0, len(r.missing))
	for _, order := range r.missing {
		lacks = append(lacks, order.Action+" "+order.Value)
	}
	return lacks
}
