package limits

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/coordination/targetlimit"
	"github.com/ivyhollow/ivyhollow/protocol/exchange"
)

// instance is Limits with what it has passed on.
type instance struct {
	*Limits
	gossiped []spread.Record
	limits   map[string]float64
}

func newInstance() *instance {
	i := &instance{}
	i.Limits = New(Options{
		Gossip:   func(r spread.Record) { i.gossiped = append(i.gossiped, r) },
		OnChange: func(limits map[string]float64) { i.limits = limits },
		Scope:    tally.NoopScope,
	})
	return i
}

func named(perSecond float64) exchange.TargetResponse {
	return exchange.TargetResponse{Signed: true, Limit: targetlimit.Statement{Limited: true, PerSecond: perSecond}}
}

// Guards against a limit that the other instances don't learn, or that a response which isn't the
// target's own raises or ends.
func TestLimitReachesOtherInstances(t *testing.T) {
	a, b := newInstance(), newInstance()
	a.Observe("t", exchange.TargetResponse{Signed: true})
	require.Empty(t, a.gossiped)
	a.Observe("t", named(1.25))
	require.Len(t, a.gossiped, 1)
	b.Receive(a.gossiped[0])
	require.Equal(t, map[string]float64{"t": 1.25}, b.limits)
	require.Equal(t, a.limits, b.limits)

	wrongTarget, invalid := named(9), named(9)
	wrongTarget.WrongTarget, invalid.LimitInvalid = true, true
	for _, ignored := range []exchange.TargetResponse{wrongTarget, invalid, {}} {
		b.Observe("t", ignored)
	}
	b.Receive(spread.Record{Kind: RecordKind, Name: "t", Revision: 1 << 60, Body: []byte("many")})
	require.Equal(t, a.limits, b.limits)
	require.Empty(t, b.gossiped)
}
