package soak

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReloadDuringStartupEndsNoProcess prevents a false violation: SIGHUP would otherwise end
// a process that doesn't handle signals yet.
func TestReloadDuringStartupEndsNoProcess(t *testing.T) {
	tb, err := newTestbed(Options{Binary: build(t), Dir: t.TempDir(), Instances: 1})
	require.NoError(t, err)
	defer tb.close()
	in := tb.instances[0]
	tb.restart(in, syscall.SIGKILL, 0)
	in.reload()
	in.signal(syscall.SIGTERM, true)
	in.awaitExit()
	require.True(t, in.process.ProcessState.Success(), "%v", in.process.ProcessState)
}
