// Package soak runs instances as processes of their own before stand-ins of the
// users' platform, harms them from outside at random, and checks from what callers
// and targets saw that the promises hold.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/platform/standin"
	"github.com/ivyhollow/ivyhollow/testkit/relay"
)

// Options of one run.
type Options struct {
	// Binary is the daemon, Dir takes settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// Faults is how long faults come; the run takes some seconds more.
	Faults    time.Duration
	Instances int
	Callers   int
}

// world is one run.
type world struct {
	options   Options
	random    *rand.Rand
	store     *standin.Store
	storeHTTP *httptest.Server
	targets   map[string]*standin.Target
	// paths are the relays before targets, by name, and before the store, by
	// instance.
	paths     map[string]*relay.Relay
	instances []*instance
	// reserved are the sockets that hold the instances' ports.
	reserved []int
	version  int
	keys     atomic.Pointer[[]string]

	mu     sync.Mutex
	faults []string
	broken []string
}

// instance is one daemon, started again whenever it ends.
type instance struct {
	name     string
	callers  string
	settings string
	log      *os.File
	// restarting is held from an end to the next start.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the present process has ended.
	ended chan struct{}
	// asked tells that the run itself ended the present process.
	asked bool
}

func newWorld(o Options) (*world, error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		store: standin.NewStore(), targets: map[string]*standin.Target{}, paths: map[string]*relay.Relay{},
	}
	w.storeHTTP = httptest.NewServer(w.store)
	for _, name := range []string{"plain-1", "plain-2", "plain-3", "engine-1", "engine-2", "engine-3", "stage-1", "stage-2"} {
		if err := w.addTarget(name); err != nil {
			return nil, err
		}
	}
	w.configure()
	for i := range o.Instances {
		if err := w.addInstance(fmt.Sprintf("instance-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addTarget(name string) error {
	t := standin.NewTarget(name)
	path, err := relay.Start("127.0.0.1:0", t.Address())
	if err != nil {
		return err
	}
	w.targets[name], w.paths[name] = t, path
	w.enter(name, "ready")
	return nil
}

// enter writes a target's entry, under the address of the relay before it.
func (w *world) enter(name, state string) {
	service, _, _ := strings.Cut(name, "-")
	entry := w.targets[name].Entry(service, "x", state)
	entry["address"] = w.paths[name].Addr()
	w.store.Put("servers", name, entry)
}

// configure writes the next version of the configuration. Its keys are those of the
// two latest versions, so that a caller's key is good for a while.
func (w *world) configure() {
	w.version++
	keys := []string{fmt.Sprint("key-", w.version), fmt.Sprint("key-", w.version-1)}
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "host.example", "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "max_attempts": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	resumable := map[string]any{"max_attempts": 2, "resumable": true, "sticky": true, "target_gap_ms": 300}
	staged := map[string]any{"max_attempts": 2, "resumable": true, "sticky": true, "target_gap_ms": 300, "stages": []map[string]any{
		{"service": "stage", "after": []int{}, "bytes": 1000},
		{"service": "stage", "after": []int{0}, "bytes": 1000},
	}}
	service := func(name string, more map[string]any) map[string]any {
		s := map[string]any{"name": name, "health_path": "/health", "max_connections": 200}
		for k, v := range more {
			s[k] = v
		}
		return s
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			route("once", "/once/", "non_idempotent", "plain", nil),
			route("get", "/get/", "idempotent", "plain", map[string]any{"max_attempts": 2}),
			route("stream", "/stream/", "streaming", "engine", map[string]any{"sticky": true, "target_gap_ms": 300}),
			route("resume", "/stream-resume/", "streaming", "engine", resumable),
			route("staged", "/stream-staged/", "streaming", "engine", staged),
		},
		"services": []map[string]any{
			service("plain", nil),
			service("engine", map[string]any{"engine": map[string]any{"slots": 8}}),
			service("stage", map[string]any{"segments": map[string]any{
				"slots": 1, "queue": 2, "batch": 8, "call_ms": 20.0, "item_ms": 1.0, "headroom_mb": 10.0, "handle_s": 4.0,
			}}),
		},
		"tenants": []map[string]any{{"name": "account-1", "api_keys": keys}},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 65536},
	})
	w.keys.Store(&keys)
}

// addInstance writes an instance's settings and starts it.
func (w *world) addInstance(name string) error {
	path, err := relay.Start("127.0.0.1:0", w.storeHTTP.Listener.Addr().String())
	if err != nil {
		return err
	}
	w.paths[name] = path
	ports, err := w.reservePorts(3)
	if err != nil {
		return err
	}
	in := &instance{name: name, callers: ports[0], settings: filepath.Join(w.options.Dir, name+".ini")}
	text := fmt.Sprintf("[instance]\nname = %s\ndata_centre = x\n[listen]\ncallers = %s\nadmin = %s\npeers = %s\n"+
		"[platform]\nurl = http://%s\ncalls_per_second = 200\n[shutdown]\ngrace = 4s\nbalancer_delay = 500ms\n",
		name, ports[0], ports[1], ports[2], path.Addr())
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(w.options.Dir, name+".log")); err != nil {
		return err
	}
	w.instances = append(w.instances, in)
	return w.launch(in)
}

// reservePorts returns addresses on loopback for an instance. A socket that doesn't
// listen holds each of them while the soak runs: an instance can listen there, but
// while it is down no connection and no other listener gets the port. Else the
// instance could not start again.
func (w *world) reservePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		w.reserved = append(w.reserved, fd)
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		bound, err := syscall.Getsockname(fd)
		if err != nil {
			return nil, errors.Wrap(err, "reserve a port")
		}
		v4, ok := bound.(*syscall.SockaddrInet4)
		if !ok {
			return nil, errors.Newf("reserve a port: bound to %T", bound)
		}
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", v4.Port))
	}
	return addresses, nil
}

// launch starts an instance's process and watches for its end.
func (w *world) launch(in *instance) error {
	command := exec.Command(w.options.Binary, "gateway", "--config", in.settings)
	command.Stdout, command.Stderr = in.log, in.log
	// The process ends with this one, however this one ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	in.mu.Lock()
	ended := make(chan struct{})
	in.process, in.asked, in.ended = command, false, ended
	in.mu.Unlock()
	go func() {
		defer close(ended)
		err := command.Wait()
		in.mu.Lock()
		asked := in.asked
		in.mu.Unlock()
		if !asked {
			w.breach("%s ended by itself: %v", in.name, err)
		}
	}()
	return nil
}

// signal sends a signal to an instance's process; ends tells that it is to end.
func (in *instance) signal(s syscall.Signal, ends bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.asked = in.asked || ends
	_ = in.process.Process.Signal(s) // it may have ended
}

// await waits until the present process has ended.
func (in *instance) await() {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	<-ended
}

// breach notes a promise that was broken.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) close() {
	for _, in := range w.instances {
		in.signal(syscall.SIGCONT, true)
		in.signal(syscall.SIGKILL, true)
	}
	for _, path := range w.paths {
		path.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
	w.storeHTTP.CloseClientConnections()
	w.storeHTTP.Close()
	for _, fd := range w.reserved {
		_ = syscall.Close(fd) // the ports are of no use any more
	}
	for _, in := range w.instances {
		_ = in.log.Close() // its content is only read
	}
}
