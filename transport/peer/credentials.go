package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// sessionCacheSize is the number of TLS sessions kept for resumption, which saves
// most of a handshake's bytes and processor time.
const sessionCacheSize = 512

// TLSFiles names the PEM files of mutual TLS.
type TLSFiles struct {
	Cert string
	Key  string
	// CA holds the certificate of the authority that signs the certificates of
	// all instances and of nothing else: every holder of a certificate signed by
	// it is accepted as a peer.
	CA string
}

// loadedTLSFiles is the content of the files, read together.
type loadedTLSFiles struct {
	cert  tls.Certificate
	roots *x509.CertPool
	stats fileStats
}

// fileStats holds the times and sizes of the files, to detect changes.
type fileStats [3]struct {
	modified time.Time
	size     int64
}

// credentials holds the last valid content of the files.
type credentials struct {
	files   TLSFiles
	current atomic.Pointer[loadedTLSFiles]
}

// loadCredentials reads the files for the first time.
func loadCredentials(files TLSFiles) (*credentials, error) {
	c := &credentials{files: files}
	m, err := files.load()
	if err != nil {
		return nil, err
	}
	c.current.Store(m)
	return c, nil
}

// load reads and checks the three files.
func (f TLSFiles) load() (*loadedTLSFiles, error) {
	st, err := f.stat()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "CA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("CA file %s has no certificate", f.CA)
	}
	return &loadedTLSFiles{cert: cert, roots: roots, stats: st}, nil
}

// stat returns the times and sizes of the files.
func (f TLSFiles) stat() (fileStats, error) {
	var st fileStats
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return st, err
		}
		st[i].modified = info.ModTime()
		st[i].size = info.Size()
	}
	return st, nil
}

// reload reads the files if they have changed. If they do not match, as in the
// middle of an update, the last valid content stays in use and the next check
// tries again.
func (c *credentials) reload() (changed bool, err error) {
	st, err := c.files.stat()
	if err != nil {
		return false, err
	}
	if st == c.current.Load().stats {
		return false, nil
	}
	m, err := c.files.load()
	if err != nil {
		return false, err
	}
	c.current.Store(m)
	return true, nil
}

// watch checks the files for changes at an interval until the context ends.
func (c *credentials) watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.reload()
		switch {
		case err != nil:
			klog.ErrorS(err, "TLS files are not usable, the last good ones stay in force", "cert", c.files.Cert)
		case changed:
			klog.InfoS("TLS files re-read", "cert", c.files.Cert)
		}
	}
}

// serverConfig returns a configuration that requires a certificate signed by the
// CA from each client.
func (c *credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return c.verify(cs, x509.ExtKeyUsageClientAuth)
		},
	}
}

// clientConfig returns a configuration that verifies the server's certificate
// against the CA. The verification of crypto/tls is turned off because it uses a
// fixed set of roots and compares host names, whereas instances are known by
// address and the CA file is reloaded. verify runs on every connection instead,
// resumed sessions included.
func (c *credentials) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return c.verify(cs, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks a peer's certificate against the current CA.
func (c *credentials) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range cs.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.current.Load().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
