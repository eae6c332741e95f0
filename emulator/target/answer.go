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
const garbage = "\x7f{]not json"

// wholeAnswer answers with one JSON body when the work is done.
type wholeAnswer struct {
	w http.ResponseWriter
	a *attempt
}

func (*wholeAnswer) begin() error            { return nil }
func (*wholeAnswer) token(int, string) error { return nil }
func (*wholeAnswer) idle() error             { return nil }

func (o *wholeAnswer) done(result targetapi.RunResponse) error {
	body, err := json.Marshal(o.a.crossed(result))
	if err != nil {
		return err
	}
	if o.a.faults.has(FaultGarble) {
		body = []byte(garbage)
	}
	o.w.Header().Set("Content-Type", "application/json")
	o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if o.a.faults.has(FaultDuplicate) {
		return o.a.answerTwice(o.w, body)
	}
	if o.a.faults.has(FaultTruncate) {
		_, _ = o.w.Write(body[:len(body)/2])
		flush(o.w)
		abort()
	}
	_, err = o.w.Write(body)
	return err
}

// streamAnswer answers with an event for each token.
type streamAnswer struct {
	w      http.ResponseWriter
	events *sse.Encoder
	a      *attempt
	sent   int
	begun  bool
}

func (o *streamAnswer) begin() error {
	o.begun = true
	o.w.Header().Set("Content-Type", sse.ContentType)
	o.w.WriteHeader(http.StatusOK)
	flush(o.w)
	return nil
}

func (o *streamAnswer) idle() error {
	if err := o.events.Comment("keep-alive"); err != nil {
		return err
	}
	flush(o.w)
	return nil
}

func (o *streamAnswer) token(offset int, token string) error {
	o.breakConnection()
	data, err := json.Marshal(targetapi.TokenEvent{Token: token})
	if err != nil {
		return err
	}
	o.sent++
	return o.send(sse.Event{Name: targetapi.EventToken, ID: strconv.Itoa(offset), Data: string(data)})
}

// breakConnection carries out the faults that end a stream between tokens.
func (o *streamAnswer) breakConnection() {
	if fault, ok := o.a.faults[FaultReset]; ok && o.sent >= fault.AfterTokens {
		reset(o.w)
	}
	if fault, ok := o.a.faults[FaultCrash]; ok && o.sent >= fault.AfterTokens {
		o.half(targetapi.EventToken)
		abort()
	}
}

func (o *streamAnswer) done(result targetapi.RunResponse) error {
	if o.a.faults.has(FaultTruncate) {
		// The HTTP body ends in good order: only the event tells.
		o.half(targetapi.EventDone)
		return nil
	}
	data, err := json.Marshal(o.a.crossed(result))
	if err != nil {
		return err
	}
	return o.send(sse.Event{Name: targetapi.EventDone, Data: string(data)})
}

// half writes an event that lacks its end.
func (o *streamAnswer) half(name string) {
	_, _ = o.w.Write([]byte("event: " + name + "\ndata: {\"to"))
	flush(o.w)
}

func (o *streamAnswer) send(event sse.Event) error {
	if o.a.faults.has(FaultGarble) {
		event.Data = garbage
	}
	copies := 1
	if o.a.faults.has(FaultDuplicate) {
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
func (a *attempt) fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if errors.Is(err, errStopped) {
		status = http.StatusConflict
	}
	stream, ok := a.answer.(*streamAnswer)
	if !ok || !stream.begun {
		fail(w, status, err.Error())
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
