package bed2

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Host is the host of all routes.
const Host = "pule25.example"

// NewID returns an id for a request.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the answer didn't end completely, or there was none.
	Err error
}

// RetryAfter returns the delay that a refusal asks for.
func (a Answer) RetryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// client opens a connection for each request.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

func request(ctx context.Context, in *Instance, method, path, id string, deadline time.Duration, body string, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+in.Address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return client().Do(r)
}

// Send sends a request and reads its whole answer.
func Send(in *Instance, method, path, id string, deadline time.Duration, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	response, err := request(ctx, in, method, path, id, deadline, body, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return Answer{response.StatusCode, response.Header, got, err}
}

// Event is an event of a stream.
type Event struct {
	ID   int
	Data string
}

// Stream is one client attempt at a stream.
type Stream struct {
	ID     string
	Status int
	Header http.Header
	// Until is when the client's deadline is over, also for its later tries.
	Until time.Time
	// Began is closed at the first event.
	Began  chan struct{}
	Events []Event
	// Whole is true if the stream ended completely. Silent is true if the client left since nothing came for long.
	Whole, Silent bool
	Err           error
	// Refusal is the body of an answer other than 200.
	Refusal string

	cancel context.CancelFunc
	done   chan struct{}
}

// Open begins a stream. The client leaves it after a gap of that length.
func Open(in *Instance, path, id, body string, deadline, gap time.Duration, header map[string]string) *Stream {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	s := &Stream{ID: id, Until: time.Now().Add(deadline), Began: make(chan struct{}), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer cancel()
		silence := time.AfterFunc(gap, func() {
			s.Silent = true
			cancel()
		})
		defer silence.Stop()
		response, err := request(ctx, in, http.MethodPost, path, id, deadline, body, header)
		if err != nil {
			s.Err = err
			return
		}
		defer response.Body.Close()
		s.Status, s.Header = response.StatusCode, response.Header
		if s.Status != http.StatusOK {
			body, _ := io.ReadAll(response.Body)
			s.Refusal = strings.TrimSpace(string(body))
			return
		}
		lines := bufio.NewScanner(response.Body)
		var event Event
		for lines.Scan() {
			line := lines.Text()
			switch {
			case strings.HasPrefix(line, "id: "):
				event.ID, _ = strconv.Atoi(line[4:])
			case strings.HasPrefix(line, "data: "):
				event.Data = line[6:]
			case line == "":
				silence.Reset(gap)
				if s.Events = append(s.Events, event); len(s.Events) == 1 {
					close(s.Began)
				}
				event = Event{}
			}
		}
		s.Err = lines.Err()
		s.Whole = s.Err == nil && event == Event{}
	}()
	return s
}

// TakeUp takes the stream up at a machine, within what is left of the client's deadline.
func (s *Stream) TakeUp(in *Instance, path, body string, gap time.Duration) *Stream {
	return Open(in, path, NewID(), body, time.Until(s.Until), gap, map[string]string{"Last-Event-Id": strconv.Itoa(s.Last()), "Resumes": s.ID})
}

// Leave closes the client's connection.
func (s *Stream) Leave() { s.cancel() }

// Wait waits for the end of the attempt.
func (s *Stream) Wait() { <-s.done }

// Last returns the id of the last whole event; 0 if there was none.
func (s *Stream) Last() int {
	if len(s.Events) == 0 {
		return 0
	}
	return s.Events[len(s.Events)-1].ID
}
