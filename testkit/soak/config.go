package soak

import (
	"fmt"

	"github.com/ivyhollow/ivyhollow/platform/standin"
)

// keysInForce is the number of successive configuration versions that accept a key.
// keysInForcePlanned is the number in runs of planned work, in which callers use a key only
// after it has had time to come into force everywhere.
const (
	keysInForce        = 2
	keysInForcePlanned = 4
)

// writeConfiguration writes the next version of the configuration. It accepts the keys of the
// latest versions, the newest first, so that a caller's key stays valid for some versions.
func (tb *testbed) writeConfiguration() {
	tb.configVersion++
	kept, timeout := keysInForce, requestDeadline
	switch {
	case tb.options.Planned:
		kept, timeout = keysInForcePlanned, maxStreamDeadline
	case tb.options.Accounts:
		kept = keysInForcePlanned
	}
	var keys []string
	for n := range kept {
		keys = append(keys, fmt.Sprint("key-", tb.configVersion-n))
	}
	config := standin.Config{Version: tb.configVersion, Keys: keys, Timeout: timeout, ColdRate: tb.coldRate()}
	if tb.options.Accounts {
		config.Objective, config.StageCall, config.StageBatch = scarceObjective, scarceStageCall, scarceStageBatch
		config.OtherAccounts = otherAccounts(keys)
	}
	tb.store.Put("config", "main", config.Body())
	tb.keys.Store(&keys)
}
