package gateway

import (
	"context"

	"github.com/ivyhollow/ivyhollow/daemon/accountshares"
	"github.com/ivyhollow/ivyhollow/daemon/relay"
)

// buildAccounts creates the shares of client accounts, if the settings turn them on.
func (g *Gateway) buildAccounts() {
	if s := g.settings.Scheduling; s.AccountSharing {
		g.accounts = accountshares.New(s.AccountWeights, g.stages.AccountShares, g.telemetry.Scope)
	}
}

// sharing returns what the relay asks; nil if client accounts don't share.
func (g *Gateway) sharing() relay.Accounts {
	if g.accounts == nil {
		return nil
	}
	return g.accounts
}

// runAccounts reports on the shares of client accounts until ctx ends.
func (g *Gateway) runAccounts(ctx context.Context) error {
	if g.accounts == nil {
		<-ctx.Done()
		return nil
	}
	return g.accounts.Run(ctx)
}
