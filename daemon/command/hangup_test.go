package command

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// daemonVariable is the environment variable that makes the test binary run the daemon.
const daemonVariable = "IVYHOLLOW_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(Main())
	}
	os.Exit(m.Run())
}

const gatewaySettings = `[instance]
name = a
data_centre = x

[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
metrics = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
url = %s
calls_per_second = 200

[peers]
cleartext = true

[shutdown]
grace = 5s
balancer_delay = 1s
`

// Prevents cut responses: a SIGHUP during the planned stop, after the instance has stopped
// reloading its settings, would end the process at once.
func TestHangupDuringStopDoesNotEndTheProcess(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	defer store.Close()
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, gatewaySettings, store.URL), 0o600))

	daemon := exec.Command(os.Args[0], "gateway", "--config", file)
	daemon.Env = append(os.Environ(), daemonVariable+"=1")
	daemon.Stderr = os.Stderr
	out, err := daemon.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, daemon.Start())
	defer func() { _ = daemon.Process.Kill() }() // already ended if the test passes
	lines := bufio.NewScanner(out)

	awaitLine(t, lines, `"Instance started"`)
	require.NoError(t, daemon.Process.Signal(syscall.SIGTERM))
	awaitLine(t, lines, `"Planned stop"`)
	require.NoError(t, daemon.Process.Signal(syscall.SIGHUP))
	awaitLine(t, lines, `"Instance stopped"`)
	require.NoError(t, daemon.Wait())
}

// awaitLine reads the daemon's log up to a line with the text.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	require.FailNow(t, "the daemon ended before its line", text)
}

// Prevents cut responses: if the reader of the log has exited, the next log line would end
// the process with SIGPIPE. The instance goes on without a log.
func TestClosedLogPipeDoesNotEndTheProcess(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	defer store.Close()
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, gatewaySettings, store.URL), 0o600))

	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	daemon := exec.Command(os.Args[0], "gateway", "--config", file)
	daemon.Env = append(os.Environ(), daemonVariable+"=1")
	daemon.Stdout, daemon.Stderr = writer, os.Stderr
	require.NoError(t, daemon.Start())
	defer func() { _ = daemon.Process.Kill() }() // already ended if the test passes
	require.NoError(t, writer.Close())

	awaitLine(t, bufio.NewScanner(reader), `"Instance started"`)
	require.NoError(t, reader.Close())
	require.NoError(t, daemon.Process.Signal(syscall.SIGTERM))
	require.NoError(t, daemon.Wait())
}
