package streams

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// Methods between instances.
const (
	// methodKeep has an instance keep records.
	methodKeep = "streams.keep"
	// methodFind asks an instance what it knows of a stream.
	methodFind = "streams.find"
)

const (
	// keepTimeout limits the sending of records to one instance.
	keepTimeout = time.Second
	// findTimeout limits the wait for the answers about a stream. checkTimeout replaces it where this instance
	// has a record, and asks because another stream may have the id, and where it knows only one version of the
	// service, and asks because its list may lag.
	findTimeout  = 250 * time.Millisecond
	checkTimeout = 50 * time.Millisecond
	// joinTimeout limits the wait of an instance that has just started until it knows another one.
	joinTimeout = 300 * time.Millisecond
	// readTimeout is the time after the start in which the stored versions are waited for, as long as joinTimeout
	// at most. After it the store is down, and a wait would only delay the refusal.
	readTimeout = 2 * time.Second
	// confirmTimeout limits the wait for the store before other instances are asked.
	confirmTimeout = 100 * time.Millisecond
	// pageSize is the maximum number of records in a message: some 40 KB.
	pageSize = 500
)

// recordMessage is a record. Its fields are sent by name.
type recordMessage struct {
	ID        string `msgpack:"i"`
	Service   string `msgpack:"s"`
	Version   string `msgpack:"v"`
	Ambiguous bool   `msgpack:"a,omitempty"`
}

// keepRequest is the body of methodKeep, whose response is empty. Its fields are sent by name.
type keepRequest struct{ Records []recordMessage }

// findRequest is the body of methodFind. Its fields are sent by name.
type findRequest struct {
	ID      string
	Service string
}

// findResponse is the response of methodFind: a resumption.Answer. Its fields are sent by name.
type findResponse struct {
	Record  recordMessage
	Found   bool
	Several bool
	Sole    string
}

func newRecordMessage(r resumption.Record) recordMessage {
	return recordMessage{r.ID, r.Origin.Service, r.Origin.Version, r.Ambiguous}
}

func (m *recordMessage) record() resumption.Record {
	return resumption.Record{ID: m.ID, Origin: resumption.Origin{Service: m.Service, Version: m.Version}, Ambiguous: m.Ambiguous}
}

// Location is where a stream goes on.
type Location struct {
	// Origin is where it began; meaningful only if Known.
	Origin resumption.Origin
	Known  bool
	Reason resumption.Reason
	// Asked is the number of instances that were asked, Elapsed how long it took.
	Asked   int
	Elapsed time.Duration
}

// Find finds out where a stream of a service began. id is that of the caller's attempt that began it; it
// is empty if the caller doesn't name it.
func (d *Directory) Find(ctx context.Context, service, id string) Location {
	started := time.Now()
	l := d.find(ctx, service, id)
	l.Elapsed = time.Since(started)
	d.metrics.takenUp[l.Reason].Inc(1)
	return l
}

func (d *Directory) find(ctx context.Context, service, id string) Location {
	own := d.answer(service, id)
	if own.Found && !own.Several {
		return newLocation(resumption.Locate(service, own, true, nil))
	}
	join, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	confirmed := false
	if !own.Found && !own.Several {
		confirmed = d.awaitConfirmation(ctx, service)
		own = d.answer(service, id)
		if confirmed && own.Sole != "" {
			return newLocation(resumption.Locate(service, own, true, nil))
		}
	}
	d.options.Cluster.AwaitPeer(join)
	current := confirmed || d.options.KnowledgeAge() <= currentAge
	n, timeout := copies, checkTimeout
	if !own.Found && (own.Several || own.Sole == "" || !current) {
		n, timeout = maxAsked, findTimeout
	}
	peers := d.keepers(id, n)
	answers := d.ask(ctx, peers, findRequest{ID: id, Service: service}, timeout)
	l := newLocation(resumption.Locate(service, own, current, answers))
	if l.Reason == resumption.ReasonUnsure {
		// An instance may have just started, and the others too, or there is none.
		d.awaitVersions(join)
		l = newLocation(resumption.Locate(service, d.answer(service, id), current, answers))
	}
	l.Asked = len(peers)
	return l
}

// awaitConfirmation reads what the store has of a service's versions. It reports whether the store has
// answered in time.
func (d *Directory) awaitConfirmation(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c := d.confirm()
	select {
	case <-c.done:
		return c.contents.covers(service)
	case <-ctx.Done():
		return false
	}
}

func newLocation(origin resumption.Origin, why resumption.Reason, known bool) Location {
	return Location{Origin: origin, Known: known, Reason: why}
}

// answer returns what this instance knows of a stream.
func (d *Directory) answer(service, id string) resumption.Answer {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var a resumption.Answer
	if id != "" {
		a.Record, a.Found = d.table.Get(now, id)
	}
	a.Several, a.Sole = d.history.Several(now, service), d.history.Sole(now, service)
	return a
}

// ask asks instances at once. It returns their answers when one has a record, all have answered or the
// timeout is over.
func (d *Directory) ask(ctx context.Context, peers []membership.Member, request findRequest, timeout time.Duration) []resumption.Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	received := make(chan *resumption.Answer, len(peers))
	for _, m := range peers {
		go func() { received <- d.askOne(ctx, m, request) }()
	}
	var answers []resumption.Answer
	for range peers {
		select {
		case a := <-received:
			if a == nil {
				continue
			}
			if answers = append(answers, *a); a.Found {
				return answers
			}
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// askOne returns nil if there is no answer.
func (d *Directory) askOne(ctx context.Context, m membership.Member, request findRequest) *resumption.Answer {
	var response findResponse
	body, err := msgpack.Marshal(&request)
	if err == nil {
		body, err = d.options.Cluster.Call(ctx, m.Address, methodFind, body)
	}
	if err == nil {
		err = errors.Wrap(msgpack.Unmarshal(body, &response), "decode")
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, peer.ErrNoMethod) {
			telemetry.ErrorS(err, "Instance was not asked for a stream's version", telemetry.Event{Resumes: request.ID, Peer: m.Name})
		}
		return nil
	}
	return &resumption.Answer{Record: response.Record.record(), Found: response.Found, Several: response.Several, Sole: response.Sole}
}

// keepAt has an instance keep records. An instance of an earlier version doesn't keep any.
func (d *Directory) keepAt(ctx context.Context, m membership.Member, records []recordMessage) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	body, err := msgpack.Marshal(&keepRequest{records})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = d.options.Cluster.Call(ctx, m.Address, methodKeep, body)
	switch {
	case errors.Is(err, peer.ErrNoMethod):
		return nil
	case err != nil:
		d.metrics.notKept.Inc(1)
		telemetry.ErrorS(err, "Version of a stream was not kept at another instance", telemetry.Event{Resumes: records[0].ID, Peer: m.Name, Count: len(records)})
	}
	return err
}

func (d *Directory) handleKeep(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var request keepRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range request.Records {
		d.table.Put(now, request.Records[i].record())
	}
	return nil, nil
}

func (d *Directory) handleFind(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var request findRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	a := d.answer(request.Service, request.ID)
	return msgpack.Marshal(&findResponse{Record: newRecordMessage(a.Record), Found: a.Found, Several: a.Several, Sole: a.Sole})
}

// Handover passes the records on to the instances that keep them once this one has stopped. It returns when
// they have them or don't answer, or when the context ends.
func (d *Directory) Handover(ctx context.Context) {
	byPeer := map[string][]recordMessage{}
	members := map[string]membership.Member{}
	for _, r := range d.neededRecords() {
		if ctx.Err() != nil {
			return
		}
		for _, m := range d.keepers(r.ID, copies) {
			byPeer[m.Name] = append(byPeer[m.Name], newRecordMessage(r))
			members[m.Name] = m
		}
	}
	sent := make(chan struct{}, len(byPeer))
	for name, records := range byPeer {
		go func() {
			defer func() { sent <- struct{}{} }()
			for len(records) > 0 {
				page := records[:min(len(records), pageSize)]
				if d.keepAt(ctx, members[name], page) != nil {
					return
				}
				records = records[len(page):]
			}
		}()
	}
	for range byPeer {
		<-sent
	}
}

// neededRecords returns the records of services that have several versions.
func (d *Directory) neededRecords() []resumption.Record {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(d.table.All(now), func(r resumption.Record) bool {
		return !r.Ambiguous && !d.history.Several(now, r.Origin.Service)
	})
}
