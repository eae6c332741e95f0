package peer

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/protocol/peer"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

const (
	// maxTunnelChunk is the maximum size in bytes of the data in one frame of a tunnel.
	maxTunnelChunk = 16 << 10
	// maxTunnelFrame is the maximum size in bytes of a frame that carries such data.
	maxTunnelFrame = maxTunnelChunk + 64
	// tunnelDialTimeout bounds the opening of the connection to a tunnel's target.
	tunnelDialTimeout = 300 * time.Millisecond
	// tunnelLinger bounds the life of a tunnel after the regular end of its target's bytes.
	tunnelLinger = time.Second
)

// DialThrough opens a connection to a target through the instance at peerAddress. The connection
// behaves like one to the target: the end of the target's bytes is io.EOF only if the target
// closed its connection regularly.
func (n *Node) DialThrough(ctx context.Context, peerAddress, target string) (net.Conn, error) {
	if err := n.checkCleartext(peerAddress); err != nil {
		return nil, notRunError(StepTunnel, peerAddress, err)
	}
	dialer := net.Dialer{Timeout: n.opts.DialTimeout, KeepAliveConfig: forward.KeepAlive}
	nc, err := dialer.DialContext(ctx, "tcp", peerAddress)
	if err != nil {
		return nil, notRunError(StepTunnel, peerAddress, err)
	}
	c := newConn(n, nc, peerAddress)
	stop := context.AfterFunc(ctx, func() { c.close(ctx.Err()) })
	hello := n.localHello()
	hello.Tunnel = target
	if err := n.dialHandshake(c, hello); err != nil {
		c.close(err)
		return nil, wrapError(StepTunnel, peerAddress, err)
	}
	if !stop() {
		return nil, wrapError(StepTunnel, peerAddress, ctx.Err())
	}
	return &tunnelConn{Conn: c.nc, conn: c}, nil
}

// StopTunnels refuses new tunnels from now on.
func (n *Node) StopTunnels() { n.noTunnels.Store(true) }

// TunnelCount returns the number of tunnels of other instances through this one.
func (n *Node) TunnelCount() int { return int(n.tunnels.Load()) }

// openTunnel dials the target of a tunnel. It returns CodeOK, or the code and the reason of the
// refusal.
func (n *Node) openTunnel(c *conn, hello *peer.Hello) (peer.Code, string) {
	if n.opts.DialTarget == nil || n.noTunnels.Load() {
		return peer.CodeBusy, "no tunnels are accepted"
	}
	if n.addTunnels(1) > int64(n.opts.MaxTunnels) {
		n.addTunnels(-1)
		return peer.CodeBusy, "too many tunnels"
	}
	ctx, cancel := context.WithTimeout(c.ctx, tunnelDialTimeout)
	defer cancel()
	target, err := n.opts.DialTarget(ctx, hello.Tunnel)
	if err == nil {
		c.target = target
		return peer.CodeOK, ""
	}
	n.addTunnels(-1)
	if errors.Is(err, ErrRefused) {
		return peer.CodeRefused, err.Error()
	}
	return peer.CodeUnreachable, err.Error()
}

// addTunnels changes the number of tunnels and returns it.
func (n *Node) addTunnels(change int64) int64 {
	count := n.tunnels.Add(change)
	n.metrics.tunnels.Update(float64(count))
	return count
}

// closeTunnel closes an accepted connection and, if it is a tunnel, the one to its target.
func (n *Node) closeTunnel(c *conn, cause error) {
	c.close(cause)
	if c.target != nil {
		_ = c.target.Close()
		n.addTunnels(-1)
	}
}

// serveTunnel copies the bytes of a tunnel in both directions until either end closes or fails.
func (n *Node) serveTunnel(c *conn) {
	if counting, ok := c.socket.(*countingConn); ok {
		if tcp, ok := counting.Conn.(*net.TCPConn); ok {
			if err := tcp.SetKeepAliveConfig(forward.KeepAlive); err != nil {
				klog.V(2).InfoS("Keep-alive of a tunnel not set", "peer", c.remoteAddress, "err", err)
			}
		}
	}
	writeFailed := make(chan error, 1)
	var copying sync.WaitGroup
	copying.Go(func() {
		if err := c.copyToTarget(); err != nil {
			writeFailed <- err
		}
		_ = c.target.Close()
	})
	err := c.copyFromTarget(writeFailed)
	if err == nil {
		// The target may read on.
		_ = c.nc.SetReadDeadline(time.Now().Add(tunnelLinger)) // fails only if the connection is closed
		_ = c.target.SetWriteDeadline(time.Now().Add(tunnelLinger))
		copying.Wait()
	}
	n.closeTunnel(c, errors.Wrap(err, "tunnel"))
	copying.Wait()
}

// copyToTarget writes the bytes of the other instance to the target until that instance closes
// the tunnel. It returns the error of a write.
func (c *conn) copyToTarget() error {
	for {
		data, err := readTunnel(c)
		if err != nil {
			return nil
		}
		if _, err = c.target.Write(data); err != nil {
			return err
		}
	}
}

// copyFromTarget sends the target's bytes to the other instance, and their end if it was regular. writeFailed has the error of
// a write to the target: a socket reports a reset only once, and the read sees a regular end if the write got it.
func (c *conn) copyFromTarget(writeFailed <-chan error) error {
	buffer := make([]byte, maxTunnelChunk)
	for {
		read, err := c.target.Read(buffer)
		if read > 0 {
			if _, failed := writeTunnel(c.nc, buffer[:read]); failed != nil {
				return failed
			}
		}
		if err == io.EOF {
			select {
			case err := <-writeFailed:
				return err
			case <-time.After(forward.ResetDelay):
				return c.writeHandshake(&peer.End{})
			}
		}
		if err != nil {
			return err
		}
	}
}

// readTunnel returns the data of the next frame, or io.EOF for the end of the target's bytes. A
// connection that ends without that is an error.
func readTunnel(c *conn) ([]byte, error) {
	body, err := peer.ReadFrame(c.reader, maxTunnelFrame)
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	m, err := peer.Decode(body)
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *peer.Data:
		return m.Bytes, nil
	case *peer.End:
		return nil, io.EOF
	}
	return nil, errors.Wrapf(ErrInvalid, "%T in a tunnel", m)
}

// writeTunnel sends bytes in frames. It returns how many of them may have been sent.
func writeTunnel(w io.Writer, p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		chunk := p[sent:min(sent+maxTunnelChunk, len(p))]
		frame, err := peer.Encode(&peer.Data{Bytes: chunk})
		if err != nil {
			return sent, err
		}
		written, err := w.Write(frame)
		if written > 0 {
			sent += len(chunk)
		}
		if err != nil {
			return sent, err
		}
	}
	return len(p), nil
}

// tunnelConn is this instance's end of a tunnel.
type tunnelConn struct {
	net.Conn
	conn *conn
	// unread is what has been received and not read yet.
	unread []byte
	// ended is set after the end of the target's bytes.
	ended bool
}

// Read implements net.Conn.
func (t *tunnelConn) Read(p []byte) (int, error) {
	for len(t.unread) == 0 {
		if t.ended {
			return 0, io.EOF
		}
		data, err := readTunnel(t.conn)
		if err == io.EOF {
			t.ended = true
			continue
		}
		if err != nil {
			return 0, t.readError(err)
		}
		t.unread = data
	}
	n := copy(p, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}

// readError returns the error of a broken tunnel as that of a connection to the target: a
// tunnel that ends without End is a connection that was reset.
func (t *tunnelConn) readError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return err
}

// Write implements net.Conn.
func (t *tunnelConn) Write(p []byte) (int, error) { return writeTunnel(t.Conn, p) }

// Close implements net.Conn.
func (t *tunnelConn) Close() error {
	t.conn.close(net.ErrClosed)
	return nil
}

// SyscallConn implements syscall.Conn. It fails with TLS, whose records can't be told from
// bytes of the target.
func (t *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	if len(t.unread) > 0 || t.ended || t.conn.reader.Buffered() > 0 || t.conn.nc != t.conn.socket {
		return nil, errors.New("bytes of the tunnel may wait")
	}
	counting, ok := t.conn.socket.(*countingConn)
	if !ok {
		return nil, errors.New("tunnel has no socket")
	}
	socket, ok := counting.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("tunnel has no socket")
	}
	return socket.SyscallConn()
}
