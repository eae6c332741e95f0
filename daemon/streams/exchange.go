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
	// has a record, and asks because another stream may have the id.
	findTimeout  = 250 * time.Millisecond
	checkTimeout = 50 * time.Millisecond
	// joinTimeout limits the wait of an instance that has just started until it knows another one.
	joinTimeout = 300 * time.Millisecond
	// readTimeout is the time after the start in which the stored versions are waited for, as long as joinTimeout
	// at most. After it the store is down, and a wait would only delay the refusal.
	readTimeout = 2 * time.Second
	// confirmTimeout limits the wait for the store before other instances are asked.
	confirmTimeout = 100 * time.Millisecond
	// pageSize is the maximum number of records in a message: some 3 KB.
	pageSize = 500
)

// recordMessage is a record. Its fields are sent by name.
type recordMessage struct {
	// ID is that of the caller's attempt.
	ID        string `msgpack:"i"`
	Service   string `msgpack:"s"`
	Version   string `msgpack:"v"`
	Ambiguous bool   `msgpack:"a,omitempty"`
}

// recordGroup has records of streams that began at the same service and version. Its fields are sent by name.
type recordGroup struct {
	Service   string `msgpack:"s"`
	Version   string `msgpack:"v"`
	Ambiguous bool   `msgpack:"a,omitempty"`
	// Hashes has a resumption.Hash for each stream.
	Hashes []byte `msgpack:"h"`
}

// keepRequest is the body of methodKeep, whose response is empty. Its fields are sent by name.
type keepRequest struct {
	// Records come from instances of the version before.
	Records []recordMessage `msgpack:",omitempty"`
	Groups  []recordGroup
	// Backup is true if the owners of the records' keys may lack them.
	Backup bool `msgpack:",omitempty"`
}

// newKeepRequest returns the request to keep records.
func newKeepRequest(records []resumption.Record, backup bool) *keepRequest {
	return &keepRequest{Groups: groupRecords(records), Backup: backup}
}

// groupRecords returns records in groups.
func groupRecords(records []resumption.Record) []recordGroup {
	type kind struct {
		origin    resumption.Origin
		ambiguous bool
	}
	positions := map[kind]int{}
	var groups []recordGroup
	for _, r := range records {
		k := kind{r.Origin, r.Ambiguous}
		position, ok := positions[k]
		if !ok {
			position = len(groups)
			positions[k] = position
			groups = append(groups, recordGroup{Service: r.Origin.Service, Version: r.Origin.Version, Ambiguous: r.Ambiguous})
		}
		groups[position].Hashes = r.ID.Append(groups[position].Hashes)
	}
	return groups
}

// records returns the records of a request.
func (k *keepRequest) records() []resumption.Record {
	var records []resumption.Record
	for i := range k.Records {
		records = append(records, k.Records[i].record())
	}
	for _, g := range k.Groups {
		for _, id := range resumption.DecodeHashes(g.Hashes) {
			records = append(records, resumption.Record{
				ID: id, Origin: resumption.Origin{Service: g.Service, Version: g.Version}, Ambiguous: g.Ambiguous, Backup: k.Backup,
			})
		}
	}
	return records
}

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

func newRecordMessage(id string, r resumption.Record) recordMessage {
	return recordMessage{id, r.Origin.Service, r.Origin.Version, r.Ambiguous}
}

func (m *recordMessage) record() resumption.Record {
	return resumption.Record{ID: resumption.HashOf(m.ID), Origin: resumption.Origin{Service: m.Service, Version: m.Version}, Ambiguous: m.Ambiguous}
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
	e := resumption.Evidence{Own: d.answer(service, id)}
	if e.Own.Found && !e.Own.Several {
		return newLocation(service, e)
	}
	join, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if !e.Own.Found && !e.Own.Several {
		e.Confirmed = d.awaitConfirmation(ctx, service)
		e.Own = d.answer(service, id)
		if e.Confirmed && e.Own.Sole != "" {
			return newLocation(service, e)
		}
	}
	d.options.Cluster.AwaitPeer(join)
	n, timeout := maxAsked, findTimeout
	if e.Own.Found {
		n, timeout = copies, checkTimeout
	}
	view := d.options.Cluster.View()
	peers := d.keepers.ofKey(view, resumption.HashOf(id), n)
	e.Answers, e.Quorum = d.ask(ctx, peers, findRequest{ID: id, Service: service}, timeout), quorum(view, len(peers))
	l := newLocation(service, e)
	if l.Reason == resumption.ReasonUnsure {
		// An instance may have just started, and the others too, or there is none.
		d.awaitVersions(join)
		e.Own = d.answer(service, id)
		l = newLocation(service, e)
	}
	if !l.Known && l.Reason != resumption.ReasonAmbiguous && id != "" {
		// All that had the record may be lost.
		d.awaitStoredRecords(ctx)
		e.Own = d.answer(service, id)
		l = newLocation(service, e)
	}
	l.Asked = len(peers)
	return l
}

// quorum returns how many instances have to know the same only version if a number of others is asked. It is more than
// all if this instance may be one of a minority that is cut off.
func quorum(view *membership.View, asked int) int {
	known := 0
	for _, m := range view.Members {
		if m.State != membership.Left {
			known++
		}
	}
	if 2*len(view.Live()) <= known {
		return known + 1
	}
	return (asked+1)/2 + 1
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

func newLocation(service string, e resumption.Evidence) Location {
	origin, why, known := resumption.Locate(service, e)
	return Location{Origin: origin, Known: known, Reason: why}
}

// answer returns what this instance knows of a stream.
func (d *Directory) answer(service, id string) resumption.Answer {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var a resumption.Answer
	if id != "" {
		a.Record, a.Found = d.table.Get(now, resumption.HashOf(id))
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

// keepAt has an instance keep records.
func (d *Directory) keepAt(ctx context.Context, t *transfer) error {
	for records := range slices.Chunk(t.records, pageSize) {
		err := d.keepPageAt(ctx, t.to, newKeepRequest(records, t.backup))
		first := d.keepers.noteAnswer(t.to, err == nil)
		if err == nil {
			continue
		}
		d.metrics.notKept.Inc(1)
		if first {
			telemetry.ErrorS(err, "Version of a stream was not kept at another instance", telemetry.Event{Peer: t.to.Name, Count: len(t.records)})
		}
		return err
	}
	return nil
}

// keepPageAt sends a message. An instance of an earlier version doesn't keep any records.
func (d *Directory) keepPageAt(ctx context.Context, to membership.Member, request *keepRequest) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	body, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = d.options.Cluster.Call(ctx, to.Address, methodKeep, body)
	if errors.Is(err, peer.ErrNoMethod) {
		return nil
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
	isDistributed := d.distribution(now)
	for _, r := range request.records() {
		d.table.Put(now, r)
		d.backupsDue = d.backupsDue || r.Backup && isDistributed(r.Origin.Service)
	}
	return nil, nil
}

func (d *Directory) handleFind(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var request findRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	a := d.answer(request.Service, request.ID)
	return msgpack.Marshal(&findResponse{Record: newRecordMessage(request.ID, a.Record), Found: a.Found, Several: a.Several, Sole: a.Sole})
}
