package bed2

import (
	"io"
	"net"
	"sync"
)

// Link is the clients' path to a machine. While the machine has no power, connections that it had stay open and
// silent, as nothing is left that could close them.
type Link struct {
	mu   sync.Mutex
	dark bool
}

// AddLink lets clients reach the machine over a link of its own.
func (in *Instance) AddLink() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	in.Link, in.Address = &Link{}, listener.Addr().String()
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go in.Link.carry(client, in.Callers)
		}
	}()
	return nil
}

// SetDark takes the machine's power away, or gives it back.
func (l *Link) SetDark(dark bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = dark
}

func (l *Link) isDark() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dark
}

func (l *Link) carry(client net.Conn, address string) {
	machine, err := net.Dial("tcp", address)
	if err != nil {
		if !l.isDark() {
			_ = client.Close() // it is refused
		}
		return
	}
	go func() {
		_, _ = io.Copy(machine, client) // the end of either side ends both
		_ = machine.Close()
		_ = client.Close()
	}()
	_, _ = io.Copy(client, machine)
	if !l.isDark() {
		_ = client.Close()
		_ = machine.Close()
	}
}
