package target

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/sse"
	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// garbage stands in for what a fault makes unreadable.
const garbledBody = "\x7f{]not json"

// wholeAnswer answers with one JSON body when the work is done.
type jsonResponder struct {
	w       http.ResponseWriter
	attempt *attempt
}

func (*jsonResponder) begin() error                { return nil }
func (*jsonResponder) sendToken(int, string) error { return nil }
func (*jsonResponder) keepAlive() error            { return nil }

func (o *jsonResponder) finish(result targetapi.RunResponse) error {
	body, err := json.Marshal(o.attempt.withCrossedID(result))
	if err != nil {
		return err
	}
	if o.attempt.faults.has(FaultGarble) {
		body = []byte(garbledBody)
	}
	o.w.Header().Set("Content-Type", "application/json")
	o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if o.attempt.faults.has(FaultDuplicate) {
		return o.attempt.sendTwice(o.w, body)
	}
	if o.attempt.faults.has(FaultTruncate) {
		_, _ = o.w.Write(body[:len(body)/2])
		flush(o.w)
		abortConnection()
	}
	_, err = o.w.Write(body)
	return err
}

// streamAnswer answers with an event for each token.
type streamResponder struct {
	w       http.ResponseWriter
	events  *sse.Encoder
	attempt *attempt
	sent    int
	begun   bool
}

func (o *streamResponder) begin() error {
	o.begun = true
	o.w.Header().Set("Content-Type", sse.ContentType)
	o.w.WriteHeader(http.StatusOK)
	flush(o.w)
	return nil
}

func (o *streamResponder) keepAlive() error {
	if err := o.events.Comment("keep-alive"); err != nil {
		return err
	}
	flush(o.w)
	return nil
}

func (o *streamResponder) sendToken(offset int, token string) error {
	o.injectConnectionFaults()
	data, err := json.Marshal(targetapi.TokenEvent{Token: token})
	if err != nil {
		return err
	}
	o.sent++
	return o.send(sse.Event{Name: targetapi.EventToken, ID: strconv.Itoa(offset), Data: string(data)})
}

// breakConnection carries out the faults that end a stream between tokens.
func (o *streamResponder) injectConnectionFaults() {
	if fault, ok := o.attempt.faults[FaultReset]; ok && o.sent >= fault.AfterTokens {
		resetConnection(o.w)
	}
	if fault, ok := o.attempt.faults[FaultCrash]; ok && o.sent >= fault.AfterTokens {
		o.sendPartialEvent(targetapi.EventToken)
		abortConnection()
	}
}

func (o *streamResponder) finish(result targetapi.RunResponse) error {
	if o.attempt.faults.has(FaultTruncate) {
		// The HTTP body ends in good order: only the event tells.
		o.sendPartialEvent(targetapi.EventDone)
		return nil
	}
	data, err := json.Marshal(o.attempt.withCrossedID(result))
	if err != nil {
		return err
	}
	return o.send(sse.Event{Name: targetapi.EventDone, Data: string(data)})
}

// half writes an event that lacks its end.
func (o *streamResponder) sendPartialEvent(name string) {
	_, _ = o.w.Write([]byte("event: " + name + "\ndata: {\"to"))
	flush(o.w)
}

func (o *streamResponder) send(event sse.Event) error {
	if o.attempt.faults.has(FaultGarble) {
		event.Data = garbledBody
	}
	copies := 1
	if o.attempt.faults.has(FaultDuplicate) {
		copies = 2
	}
	for range copies {
		if err := o.events.Encode(event); err != nil {
			return err
		}
	}
	flush(o.w)
	return nil
}

// fail ends an attempt that was started and brought no answer.
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

// flush sends what was written so far. An error means that the caller is gone,
// which the next write or the context tells as well.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
