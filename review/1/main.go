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

const (
	engines = 12
	// garbled engines may send an answer a second time in the windows: one in each, and no more than
	// maxExtraShare of their answers. Share, time and limit are those of the site file.
	garbled       = 7
	maxExtraShare = 0.03
	window        = 5 * time.Second
	windows       = 3
	pause         = 70 * time.Millisecond
	// downTime is how long the stage target is down that crashes in each window, entryTime how long its
	// entry stays.
	downTime  = 2 * time.Second
	entryTime = 3600 * time.Millisecond
)

type world struct {
	b  *bed.Bed
	mu sync.Mutex
	// first are the targets of the first stage.
	first, stages []*stageTarget
	runs          map[string]int
	// open is true in a window. answers and extras count those of garbled engines since it began.
	open            bool
	answers, extras int
}

func (w *world) exists(handle string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stages {
		if s.holds(handle) {
			return true
		}
	}
	return false
}

func (w *world) isOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open
}

func (w *world) serveEngine(l net.Listener, name string, mayRepeat bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveEngineConn(c, name, mayRepeat)
	}
}

func (w *world) serveEngineConn(c net.Conn, name string, mayRepeat bool) {
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
		if extra != "" && w.isOpen() {
			w.b.Recordf("%s sends an earlier answer a second time, where that to %s is expected", name, id)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
		}
		extra = ""
		w.mu.Lock()
		if w.open && mayRepeat {
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
			if w.open && mayRepeat && w.extras == 0 {
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
	for i := range 4 {
		t, err := w.startStage("stage-a", fmt.Sprintf("i-stage-a-%d", i), 100*time.Millisecond)
		if err != nil {
			return 0, err
		}
		w.first = append(w.first, t)
	}
	for i := range 6 {
		if _, err := w.startStage("stage-b", fmt.Sprintf("i-stage-b-%d", i), 350*time.Millisecond); err != nil {
			return 0, err
		}
	}
	for i := range engines {
		l, err := b.Listen()
		if err != nil {
			return 0, err
		}
		name := fmt.Sprintf("i-engine-%d", i)
		go w.serveEngine(l, name, i < garbled)
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
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			in := fronts[n%len(fronts)]
			clients.Go(func() {
				id := bed.NewID()
				b.Recordf("client sends %s to %s", id, in.Name)
				a := bed.Send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, in, "POST", "/once/x", id, 6*time.Second, map[string]string{
					"Model": "m", "Token-Count": "568,20", "Prompt-Prefix": fmt.Sprintf("aa%d:100,%s:468", n%7, id), "Pieces": "2,2", "Piece-Key": id,
				}, "prompt of "+id)
				b.Recordf("client got %d %v for %s: %.60q", a.Status, a.Err, id, a.Body)
			})
		}
	})
	time.Sleep(3 * time.Second)
	for n := range windows {
		if err := w.playWindow(n); err != nil {
			return 0, err
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
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

// startStage starts a target of a stage service.
func (w *world) startStage(service, name string, duration time.Duration) (*stageTarget, error) {
	l, err := w.b.Listen()
	if err != nil {
		return nil, err
	}
	s := &stageTarget{name: name, listener: l, duration: duration, results: map[string]string{}, conns: map[net.Conn]struct{}{}}
	go s.serve()
	w.mu.Lock()
	w.stages = append(w.stages, s)
	w.mu.Unlock()
	_, err = w.b.Store.Put("servers", name, bed.Entry(service, l.Addr().String(), "z1", "ready", 1))
	return s, err
}

// playWindow lets engines send an answer a second time, and crashes a target of the first stage.
func (w *world) playWindow(n int) error {
	if !bed.Trouble() {
		time.Sleep(window)
		return nil
	}
	w.mu.Lock()
	w.open, w.answers, w.extras = true, 0, 0
	w.mu.Unlock()
	w.b.Recordf("window %d begins", n)
	ended := make(chan struct{})
	time.AfterFunc(window, func() {
		w.mu.Lock()
		w.open = false
		w.mu.Unlock()
		close(ended)
	})
	time.Sleep(time.Second)
	crashed, at := w.crashOne(ended)
	if crashed == nil {
		return fmt.Errorf("no target holds a result")
	}
	time.Sleep(downTime)
	again, err := w.startStage("stage-a", fmt.Sprintf("%s-%d", crashed.name, n), crashed.duration)
	if err != nil {
		return err
	}
	w.first[at] = again
	time.AfterFunc(entryTime-downTime, func() { w.b.Store.Remove("servers", crashed.name) })
	<-ended
	w.mu.Lock()
	defer w.mu.Unlock()
	w.b.Recordf("window %d ends: answers of garbled engines %d, extra ones %d", n, w.answers, w.extras)
	if float64(w.extras) > maxExtraShare*float64(w.answers) {
		return fmt.Errorf("%d extra answers among %d are more than the limit", w.extras, w.answers)
	}
	return nil
}

// crashOne crashes the first target of the first stage that holds a result, before the window ends. It
// returns the target and its place.
func (w *world) crashOne(ended <-chan struct{}) (*stageTarget, int) {
	for {
		for i, s := range w.first {
			s.mu.Lock()
			holds := len(s.results) > 0
			s.mu.Unlock()
			if holds {
				w.b.Recordf("%s crashes", s.name)
				s.crash()
				return s, i
			}
		}
		select {
		case <-ended:
			return nil, 0
		case <-time.After(5 * time.Millisecond):
		}
	}
}
