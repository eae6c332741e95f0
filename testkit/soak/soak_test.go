package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds are played in every run of the tests: one to find what is new in the code,
// and each that ever failed, with its cause.
//
// 520: a connection took the port of an instance that was down, which then could not
// start again; the ports are reserved since.
var seeds = []uint64{1, 520}

// Instances are killed, paused, restarted and cut off, targets and the store
// misbehave, all at random and overlapping. What callers and targets saw is compared
// afterwards: nothing ran twice, no refusal was false, no answer was another's or cut
// short, no piece read another request's results, and the fleet is well afterwards.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ivyhollowd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/ivyhollow/ivyhollow/cmd/ivyhollowd").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(Options{
				Binary: binary, Dir: t.TempDir(), Seed: seed, Faults: 5 * time.Second, Instances: 3, Callers: 8,
			})
			require.NoError(t, err)
			t.Logf("%d requests, %d served", report.Answers, report.Served)
			require.Empty(t, report.Broken, "faults: %v", report.Faults)
		})
	}
}
