// Package examples holds records to start from. The embedded mode loads them,
// and operators apply the same files by the client.
package examples

import (
	"bytes"
	_ "embed"
)

//go:embed dossier.json
var dossier []byte

//go:embed work-order.json
var workOrder []byte

//go:embed tiers.json
var tiers []byte

//go:embed accounts.json
var accounts []byte

// Records returns all examples as one file of records, each after those that
// it depends on.
func Records() []byte {
	return bytes.Join([][]byte{dossier, workOrder, tiers, accounts}, []byte("\n"))
}
