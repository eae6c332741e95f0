package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/daemon/claims"
	emulator "github.com/ivyhollow/ivyhollow/emulator/platform"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Limits of the platform, in calls per second of the whole cluster.
const (
	storeWrites = 400
	storeReads  = 2000
)

// nonRepeatableShare is an assumption: one request in a hundred may not be
// repeated.
const nonRepeatableShare = 0.01

// designClaimRate is the number of claims per second of the whole cluster.
const designClaimRate = 42000 * nonRepeatableShare

// measureClaims counts the writes to the store that claims cause from their begin
// to the end of their retention, and the reads of one sweep by one instance.
func measureClaims(o Options) ([]Series, error) {
	writes := Series{Quantity: "writes to the store, of 1% of the requests", Unit: "1/s in all", SizeUnit: "claim", DesignSize: designClaimRate, Budget: storeWrites}
	pages := Series{Quantity: "reads of one sweep", Unit: "pages", SizeUnit: "claim kept", DesignSize: designClaimRate * 86400}
	for _, n := range o.sizes(1, 100, 420) {
		store := emulator.New(emulator.Options{WritesPerSecond: emulator.Unlimited, ReadsPerSecond: emulator.Unlimited})
		addClaims(store, n)
		sweepClaims(store)
		writes.add(n, float64(store.Calls().Kinds[platformapi.KindClaims].Writes))
	}
	for _, n := range o.sizes(400, 4000, 20000) {
		store := emulator.New(emulator.Options{WritesPerSecond: emulator.Unlimited, ReadsPerSecond: emulator.Unlimited})
		addClaims(store, n)
		before := store.Calls().Kinds[platformapi.KindClaims].Reads
		_, _ = claims.NewObjectStorage(store.Local("sweeper")).Sweep(context.Background(), time.Time{}, func() error { return nil })
		pages.add(n, float64(store.Calls().Kinds[platformapi.KindClaims].Reads-before))
	}
	return []Series{writes, pages}, nil
}

// addClaims begins n claims and records their outcomes.
func addClaims(store *emulator.Store, n int) {
	service := claims.New(claims.Options{
		Owner:   claim.Owner{Instance: "one", Incarnation: 1},
		Storage: claims.NewObjectStorage(store.Local("one")),
	})
	ctx := context.Background()
	for i := range n {
		begun, err := service.Begin(ctx, claims.Key{Account: "a", IdempotencyKey: fmt.Sprint(i)}, [32]byte{})
		if err != nil || begun.Ticket == nil {
			continue
		}
		_ = begun.Ticket.MarkDispatched()
		_ = begun.Ticket.Finish(ctx, claims.StoredResult{Outcome: claim.OutcomeRan, Status: 200})
	}
}

// sweepClaims removes all claims, as at the end of their retention.
func sweepClaims(store *emulator.Store) {
	later := time.Now().Add(time.Hour)
	_, _ = claims.NewObjectStorage(store.Local("sweeper")).Sweep(context.Background(), later, func() error { return nil })
}
