package relay

import "net"

// CutMode is how the connections of one source fail.
type CutMode uint8

// The ways in which the connections of a source fail, until RestoreSource.
const (
	// Hold holds up all bytes in both directions, also on new connections.
	Hold CutMode = iota + 1
	// Break resets open connections and new ones.
	Break
)

// cut is the cut of one source. restored is closed when it ends.
type cut struct {
	mode     CutMode
	restored chan struct{}
}

// CutSource cuts the connections of clients with an IP address.
func (r *Relay) CutSource(source string, mode CutMode) {
	r.RestoreSource(source)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[source] = cut{mode, make(chan struct{})}
	for l := range r.links {
		if l.source == source && mode == Break {
			l.reset()
		}
	}
}

// RestoreSource ends the cut of a source. Bytes that were held up are delivered.
func (r *Relay) RestoreSource(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.cuts[source]; ok {
		close(c.restored)
		delete(r.cuts, source)
	}
}

// heldUntil returns a channel that is closed when the bytes of a source are no longer held up; nil
// if they aren't.
func (r *Relay) heldUntil(source string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.cuts[source]; c.mode == Hold {
		return c.restored
	}
	return nil
}

func sourceOf(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}
