// Command 1 checks that a stream that may not be repeated runs once, although the results of its
// stages are lost with a target and an engine sends an answer a second time.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/review/bed"
)

func main() { bed.Main("review/1", run) }

// stageTarget is a target of a stage service.
type stageTarget struct {
	name     string
	listener net.Listener
	duration time.Duration

	slot sync.Mutex
	mu   sync.Mutex
	dead bool
	// results are the results that it keeps: those of requests, by handle.
	results map[string]string
	conns   map[net.Conn]struct{}
	made    int
}

func (s *stageTarget) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *stageTarget) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		answer := "{}"
		if q.URL.Path == "/api/stage-run" {
			answer = s.make(body)
		} else {
			s.free(body)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

func (s *stageTarget) make(body []byte) string {
	var call struct {
		Entries []struct {
			ID string `json:"id"`
		} `json:"entries"`
	}
	_ = json.Unmarshal(body, &call) // an unreadable call makes nothing
	s.slot.Lock()
	defer s.slot.Unlock()
	time.Sleep(s.duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	var results []map[string]string
	for _, e := range call.Entries {
		s.made++
		handle := fmt.Sprintf("%s/%x", s.listener.Addr(), s.made)
		s.results[handle] = e.ID
		results = append(results, map[string]string{"handle": handle})
	}
	text, _ := json.Marshal(map[string]any{"entries": results})
	return string(text)
}

func (s *stageTarget) free(body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(body, &call)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range call.Handles {
		delete(s.results, h)
	}
}

// crash ends the target: its connections are reset, and its results are gone.
func (s *stageTarget) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	s.results = map[string]string{}
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *stageTarget) holds(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results[handle] != ""
}

type world struct {
	b      *bed.Bed
	mu     sync.Mutex
	stages []*stageTarget
	runs   map[string]int
	// window is true while engines may send an answer a second time. answers and extras count theirs then.
	window  atomic.Bool
	answers int
	extras  int
}

// maxExtraShare is the largest share of the answers that garble spoils in the site file.
const maxExtraShare = 0.05

func (w *world) exists(handle string) bool {
	for _, s := range w.stages {
		if s.holds(handle) {
			return true
		}
	}
	return false
}

func (w *world) serveEngine(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveEngineConn(c, name)
	}
}

func (w *world) serveEngineConn(c net.Conn, name string) {
	defer c.Close()
	r := bufio.NewReader(c)
	extra := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Request-Id")
		if extra != "" {
			w.b.Recordf("%s sends an earlier answer a second time, where that to %s is expected", name, id)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		w.mu.Lock()
		if w.window.Load() {
			w.answers++
		}
		w.mu.Unlock()
		if q.Header.Get("Expect-Instance") != name {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, name)
			continue
		}
		gone := ""
		for _, h := range strings.Split(q.Header.Get("Inputs"), ",") {
			if !w.exists(h) {
				gone = h
			}
		}
		if gone != "" {
			w.b.Recordf("%s rejects %s: its input %s is gone", name, id, gone)
			answer := fmt.Sprintf("HTTP/1.1 409 Conflict\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
			w.mu.Lock()
			if w.window.Load() && w.extras == 0 {
				w.extras++
				extra = answer
			}
			w.mu.Unlock()
			continue
		}
		w.mu.Lock()
		w.runs[id]++
		n := w.runs[id]
		w.mu.Unlock()
		w.b.Recordf("%s runs %s, run %d", name, id, n)
		if !stream(c, id, name) {
			return
		}
	}
}

func stream(c net.Conn, id, name string) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, name); err != nil {
		return false
	}
	for n := 1; n <= 5; n++ {
		time.Sleep(30 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func run(b *bed.Bed) (int, error) {
	w := &world{b: b, runs: map[string]int{}}
	for _, service := range []struct {
		name     string
		count    int
		duration time.Duration
	}{{"stage-a", 4, 100 * time.Millisecond}, {"stage-b", 6, 350 * time.Millisecond}} {
		for i := range service.count {
			l, err := b.Listen()
			if err != nil {
				return 0, err
			}
			s := &stageTarget{name: fmt.Sprintf("i-%s-%d", service.name, i), listener: l, duration: service.duration, results: map[string]string{}, conns: map[net.Conn]struct{}{}}
			w.stages = append(w.stages, s)
			go s.serve()
			b.Store.Put("servers", s.name, bed.Entry(service.name, l.Addr().String(), "z1", "ready", 1))
		}
	}
	for i := range 12 {
		l, err := b.Listen()
		if err != nil {
			return 0, err
		}
		name := fmt.Sprintf("i-engine-%d", i)
		go w.serveEngine(l, name)
		b.Store.Put("servers", name, bed.Entry("engine", l.Addr().String(), "z1", "ready", 96))
	}
	segments := func(call, item float64) map[string]any {
		return map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": call, "item_ms": item, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000}
	}
	b.Store.Put("config", "main", bed.Config([]map[string]any{{
		"name": "r-once", "path_prefix": "/once/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 2000, "target_gap_ms": 300,
		"priority": 0, "service": "engine", "max_attempts": 1, "sticky": true, "resumable": false,
		"stages": []map[string]any{{"service": "stage-a", "after": []int{}, "bytes": 8000}, {"service": "stage-b", "after": []int{}, "bytes": 8000}},
	}}, []map[string]any{
		{"name": "engine", "engine": map[string]any{"slots": 96, "kv_capacity": 272928, "kv_token_bytes": 131072, "link_mbps": 260000.0, "stride": 3}},
		{"name": "stage-a", "segments": segments(80, 20)}, {"name": "stage-b", "segments": segments(300, 50)},
	}))
	var fronts []*bed.Instance
	for i := range 2 {
		in, err := b.StartInstance(fmt.Sprintf("front-%d", i), "z1")
		if err != nil {
			return 0, err
		}
		fronts = append(fronts, in)
	}
	for _, in := range fronts {
		if err := in.AwaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	stop := time.Now().Add(16 * time.Second)
	n := 0
	for time.Now().Before(stop) {
		n++
		in := fronts[n%len(fronts)]
		clients.Go(func() {
			id := bed.NewID()
			b.Recordf("client sends %s to %s", id, in.Name)
			a := bed.Send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, in, "POST", "/once/x", id, 6*time.Second, map[string]string{
				"Model": "m", "Token-Count": "568,20", "Prompt-Prefix": fmt.Sprintf("aa%d:100,%s:468", n%7, id), "Pieces": "2,2", "Piece-Key": id,
			}, "prompt of "+id)
			b.Recordf("client got %d %v for %s: %.60q", a.Status, a.Err, id, a.Body)
		})
		time.Sleep(250 * time.Millisecond)
		if bed.Trouble() && n == 20 {
			w.window.Store(true)
			b.Recordf("garble begins")
			time.AfterFunc(6*time.Second, func() { w.window.Store(false); b.Recordf("garble ends") })
		}
		if bed.Trouble() && n == 30 {
			go crashOne(w)
		}
	}
	clients.Wait()
	b.Recordf("answers in the window %d, extra ones %d", w.answers, w.extras)
	if float64(w.extras) > maxExtraShare*float64(w.answers) {
		return 0, fmt.Errorf("%d extra answers among %d are more than the page allows", w.extras, w.answers)
	}
	twice := 0
	for id, runs := range w.runs {
		if runs > 1 {
			twice++
			b.Recordf("BROKEN: %s ran %d times", id, runs)
		}
	}
	if twice > 0 {
		return bed.Broken, nil
	}
	return bed.Held, nil
}

// crashOne crashes a target that holds a result which hasn't been read yet.
func crashOne(w *world) {
	for {
		for _, s := range w.stages[:4] {
			s.mu.Lock()
			holds := len(s.results) > 0
			s.mu.Unlock()
			if holds {
				w.b.Recordf("%s crashes", s.name)
				s.crash()
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
