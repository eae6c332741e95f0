package target

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// garbledBody replaces the JSON of responses under FaultGarble.
const garbledBody = "\x7f{]not json"

// jsonResponder responds with one JSON body when the work is done.
type jsonResponder struct {
	w       http.ResponseWriter
	attempt *attempt
}

func (*jsonResponder) begin() error                { return nil }
func (*jsonResponder) sendToken(int, string) error { return nil }
func (*jsonResponder) keepAlive() error            { return nil }

func (r *jsonResponder) finish(result targetapi.RunResponse) error {
	body, err := json.Marshal(r.attempt.withCrossedID(result))
	if err != nil {
		return err
	}
	if r.attempt.faults.has(FaultGarble) {
		body = []byte(garbledBody)
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.attempt.faults.has(FaultDuplicate) {
		return r.attempt.sendTwice(r.w, body)
	}
	if r.attempt.faults.has(FaultTruncate) {
		_, _ = r.w.Write(body[:len(body)/2])
		flush(r.w)
		abortConnection()
	}
	_, err = r.w.Write(body)
	return err
}

// streamResponder responds with an event for each token.
type streamResponder struct {
	w       http.ResponseWriter
	events  *sse.Encoder
	attempt *attempt
	sent    int
	begun   bool
}

func (r *streamResponder) begin() error {
	r.begun = true
	r.w.Header().Set("Content-Type", sse.ContentType)
	r.w.WriteHeader(http.StatusOK)
	flush(r.w)
	return nil
}

func (r *streamResponder) keepAlive() error {
	if err := r.events.Comment("keep-alive"); err != nil {
		return err
	}
	flush(r.w)
	return nil
}

func (r *streamResponder) sendToken(offset int, token string) error {
	r.injectConnectionFaults()
	data, err := json.Marshal(targetapi.TokenEvent{Token: token})
	if err != nil {
		return err
	}
	r.sent++
	return r.send(sse.Event{Name: targetapi.EventToken, ID: strconv.Itoa(offset), Data: string(data)})
}

// injectConnectionFaults applies the faults that end a stream between tokens.
func (r *streamResponder) injectConnectionFaults() {
	if fault, ok := r.attempt.faults[FaultReset]; ok && r.sent >= fault.AfterTokens {
		resetConnection(r.w)
	}
	if fault, ok := r.attempt.faults[FaultCrash]; ok && r.sent >= fault.AfterTokens {
		r.sendPartialEvent(targetapi.EventToken)
		abortConnection()
	}
}

func (r *streamResponder) finish(result targetapi.RunResponse) error {
	if r.attempt.faults.has(FaultTruncate) {
		// The HTTP body ends properly: only the incomplete event shows the fault.
		r.sendPartialEvent(targetapi.EventDone)
		return nil
	}
	data, err := json.Marshal(r.attempt.withCrossedID(result))
	if err != nil {
		return err
	}
	return r.send(sse.Event{Name: targetapi.EventDone, Data: string(data)})
}

// sendPartialEvent writes the beginning of an event.
func (r *streamResponder) sendPartialEvent(name string) {
	_, _ = r.w.Write([]byte("event: " + name + "\ndata: {\"to"))
	flush(r.w)
}

func (r *streamResponder) send(event sse.Event) error {
	if r.attempt.faults.has(FaultGarble) {
		event.Data = garbledBody
	}
	copies := 1
	if r.attempt.faults.has(FaultDuplicate) {
		copies = 2
	}
	for range copies {
		if err := r.events.Encode(event); err != nil {
			return err
		}
	}
	flush(r.w)
	return nil
}

// respondError responds to an attempt that failed after its start.
func (a *attempt) respondError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if errors.Is(err, errCancelled) {
		status = http.StatusConflict
	}
	stream, ok := a.responder.(*streamResponder)
	if !ok || !stream.begun {
		writeError(w, status, err.Error())
		return
	}
	data, _ := json.Marshal(targetapi.Refusal{Error: err.Error()})
	_ = stream.send(sse.Event{Name: targetapi.EventError, Data: string(data)})
}

// flush sends the bytes written so far. It ignores errors: they mean that the
// caller disconnected, which the next write or the context reports as well.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
