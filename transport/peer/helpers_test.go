package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNode starts a node on loopback with intervals short enough for a test.
func testNode(t *testing.T, name string, change func(*Options), handlers ...func(*Node)) (*Node, tally.TestScope) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	opts := Options{
		Cluster: "c", Listen: "127.0.0.1:0", Scope: scope,
		Self:             membership.Member{Name: name, Incarnation: 1},
		HeartbeatBusy:    40 * time.Millisecond,
		HeartbeatTimeout: time.Second, // longer than the stalls of a busy machine
		ReloadInterval:   5 * time.Millisecond,
	}
	if change != nil {
		change(&opts)
	}
	n, err := New(opts)
	require.NoError(t, err)
	require.NoError(t, n.Listen())
	for _, h := range handlers {
		h(n)
	}
	n.Start()
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	return n, scope
}

// count returns the sum of the counters whose name contains all the given parts.
func count(scope tally.TestScope, parts ...string) (sum int64) {
	for key, c := range scope.Snapshot().Counters() {
		hit := true
		for _, p := range parts {
			hit = hit && strings.Contains(key, p)
		}
		if hit {
			sum += c.Value()
		}
	}
	return sum
}

// eventually waits for an event that has no channel. The timeout only ends a test
// that has failed.
func eventually(t *testing.T, met func() bool, what string) {
	t.Helper()
	require.Eventually(t, met, 20*time.Second, 2*time.Millisecond, what)
}

// blackholeProxy forwards connections to a node. Connections that are open when
// blackhole is called stay open but carry nothing from then on; later ones work.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	wg         sync.WaitGroup
	mu         sync.Mutex
	blackholed []*atomic.Bool
	conns      []net.Conn
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &blackholeProxy{listener: listener, target: target}
	r.wg.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *blackholeProxy) address() string { return r.listener.Addr().String() }

func (r *blackholeProxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		blackholed := new(atomic.Bool)
		r.mu.Lock()
		r.blackholed = append(r.blackholed, blackholed)
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.wg.Go(func() { pipe(in, out, blackholed) })
		r.wg.Go(func() { pipe(out, in, blackholed) })
	}
}

// pipe copies until the source ends, and discards the bytes while blackholed.
func pipe(from, to net.Conn, blackholed *atomic.Bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !blackholed.Load() {
				_ = to.Close()
			}
			return
		}
		if !blackholed.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (r *blackholeProxy) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.blackholed {
		b.Store(true)
	}
}

func (r *blackholeProxy) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

var serial atomic.Int64

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial.Add(1)), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &authority{cert: cert, key: key, file: filepath.Join(t.TempDir(), "ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes the certificate and key of an instance, and the certificate of the
// authority, into a directory.
func (a *authority) issue(t *testing.T, dir string) *TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial.Add(1)), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	f := &TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, f.Cert, "CERTIFICATE", der)
	writePEM(t, f.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, f.CA, "CERTIFICATE", a.cert.Raw)
	return f
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// encode returns the frames of messages as they are sent over a connection.
func encode(t *testing.T, messages ...peer.Message) []byte {
	var out []byte
	for _, m := range messages {
		frame, err := peer.Encode(m)
		require.NoError(t, err)
		out = append(out, frame...)
	}
	return out
}

// readWelcome reads the Welcome of a handshake.
func readWelcome(t *testing.T, r io.Reader) *peer.Welcome {
	body, err := peer.ReadFrame(r, peer.MaxFrame)
	require.NoError(t, err)
	m, err := peer.Decode(body)
	require.NoError(t, err)
	return m.(*peer.Welcome)
}
