// Package examples contains example records. `ivyhollowd dev` loads them, and
// operators can apply the same files with the client.
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

// Records returns all examples as one file of records, ordered so that each record
// follows those that it depends on.
func Records() []byte {
	return bytes.Join([][]byte{dossier, workOrder, tiers, accounts}, []byte("\n"))
}
