package shard_test

import (
	"fmt"

	"github.com/ivyhollow/ivyhollow/state/shard"
)

// A full map evicts the least recently written entry; reading does not count.
func ExampleMap() {
	seen := shard.NewMap[string, int](1, 2)
	for _, name := range []string{"kochi", "aluva", "kochi", "thekkady"} {
		seen.Update(name, func(count *int, _ bool) { *count++ })
	}
	for _, name := range []string{"kochi", "aluva", "thekkady"} {
		count, known := seen.Get(name)
		fmt.Println(name, count, known)
	}
	// Output:
	// kochi 2 true
	// aluva 0 false
	// thekkady 1 true
}
