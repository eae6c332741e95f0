package record_test

import (
	"fmt"

	"github.com/ivyhollow/ivyhollow/protocol/record"
)

func ExampleCheck() {
	documents, _ := record.ParseFile([]byte(`{"kind":"tiers","metadata":{"name":"gold"},
"spec":{"schema_version":1,
  "rank":-1,
  "deadline_ms":"2s","engine_priority":0,"colour":"gold"}}`))
	_, faults := record.Check(documents)
	for _, fault := range faults {
		fmt.Println(fault)
	}
	// Output:
	// line 3: tiers/gold: rank: -1 is not between 0 and 99
	// line 4: tiers/gold: deadline_ms: must be a number, not a string
	// line 4: tiers/gold: colour: is not a known field
}
