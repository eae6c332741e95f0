package soak

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHangupAtAStartEndsNoProcess guards against a soak that ends a process by a signal
// which no program catches yet, and blames the process.
func TestReloadDuringStartupEndsNoProcess(t *testing.T) {
	w, err := newTestbed(Options{Binary: build(t), Dir: t.TempDir(), Instances: 1})
	require.NoError(t, err)
	defer w.close()
	in := w.instances[0]
	w.restart(in, syscall.SIGKILL, 0)
	in.reload()
	in.signal(syscall.SIGTERM, true)
	in.awaitExit()
	require.True(t, in.process.ProcessState.Success(), "%v", in.process.ProcessState)
}
