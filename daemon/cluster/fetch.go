package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodFetch returns a part of a record that is too large to be pushed.
const methodFetch = "records.fetch"

const (
	// partBytes is the size of a part. Other messages on the connection wait for one part
	// at most, not for the whole record.
	partBytes = 64 << 10
	// partTimeout limits the wait for a part, after which another source is tried.
	partTimeout = 700 * time.Millisecond
	// maxFetches is the maximum number of records that are fetched at a time.
	maxFetches = 4
	// maxEncodings is the number of compressed records that are kept. A peer that is
	// fetching a revision gets the rest of it although a later one has arrived.
	maxEncodings = 4
	// maxEncodedBytes limits a compressed record, which may be larger than the record if it
	// can't be compressed.
	maxEncodedBytes = spread.MaxRecordBytes + partBytes
	// maxPushedBytes limits a record that is pushed to an instance whose version has no
	// offers. Such an instance rejects larger ones.
	maxPushedBytes = 512 << 10
)

// errNotHeld means that a peer no longer holds the record that it offered.
var errNotHeld = errors.New("the record is not held")

// partRequest asks for a part of a compressed record. At Offset 0 Revision is the lowest
// acceptable one; the other parts are of exactly that revision. The fields of both messages
// are sent by name.
type partRequest struct {
	Kind     string
	Name     string
	Revision uint64
	Offset   int
}

// partResponse is a part of a compressed record, whose whole size is Size bytes.
type partResponse struct {
	Revision uint64
	Size     int
	Part     []byte
}

// encoding is a compressed record.
type encoding struct {
	kind, name string
	revision   uint64
	data       []byte
}

// encodings keeps the latest compressed records, so that each is compressed once.
type encodings struct {
	mu      sync.Mutex
	entries []encoding
}

// find returns the compressed record of a revision.
func (e *encodings) find(kind, name string, revision uint64) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.locked(kind, name, revision)
}

func (e *encodings) locked(kind, name string, revision uint64) ([]byte, bool) {
	for _, x := range e.entries {
		if x.kind == kind && x.name == name && x.revision == revision {
			return x.data, true
		}
	}
	return nil, false
}

// put keeps a compressed record that was received from a peer.
func (e *encodings) put(x encoding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(x)
}

// add keeps a compressed record instead of the oldest one; mu is held.
func (e *encodings) add(x encoding) {
	if len(e.entries) == maxEncodings {
		e.entries = slices.Delete(e.entries, 0, 1)
	}
	e.entries = append(e.entries, x)
}

// encode returns a compressed record. Concurrent callers wait for one compression.
func (e *encodings) encode(r spread.Record) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.locked(r.Kind, r.Name, r.Revision); ok {
		return data, nil
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "create encoder")
	}
	data := encoder.EncodeAll(r.Body, nil)
	if err := encoder.Close(); err != nil {
		return nil, errors.Wrap(err, "close encoder")
	}
	e.add(encoding{r.Kind, r.Name, r.Revision, data})
	return data, nil
}

// decompress returns the body of a compressed record.
func decompress(data []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(spread.MaxRecordBytes))
	if err != nil {
		return nil, errors.Wrap(err, "create decoder")
	}
	defer decoder.Close()
	body, err := decoder.DecodeAll(data, nil)
	return body, errors.Wrap(err, "decompress record")
}

// handleFetch handles methodFetch.
func (c *Cluster) handleFetch(_ context.Context, _ peer.Peer, body []byte) ([]byte, error) {
	var q partRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	data, revision, err := c.encodedRecord(q)
	if err != nil {
		return nil, err
	}
	if q.Offset < 0 || q.Offset > len(data) {
		return nil, errors.Newf("offset %d of %d bytes", q.Offset, len(data))
	}
	part := data[q.Offset:min(q.Offset+partBytes, len(data))]
	return msgpack.Marshal(partResponse{Revision: revision, Size: len(data), Part: part})
}

// encodedRecord returns the compressed record that a request is for, and its revision.
func (c *Cluster) encodedRecord(q partRequest) ([]byte, uint64, error) {
	if q.Offset > 0 {
		if data, ok := c.encodings.find(q.Kind, q.Name, q.Revision); ok {
			return data, q.Revision, nil
		}
		return nil, 0, errNotHeld
	}
	c.gossipMu.Lock()
	record, ok := c.gossip.Record(q.Kind, q.Name)
	c.gossipMu.Unlock()
	if !ok || record.Deleted || record.Revision < q.Revision {
		return nil, 0, errNotHeld
	}
	data, err := c.encodings.encode(record)
	return data, record.Revision, err
}

// fetch fetches the record of an offer and passes the result to the gossip.
func (c *Cluster) fetch(f spread.Fetch) {
	select {
	case c.fetchSlots <- struct{}{}:
		defer func() { <-c.fetchSlots }()
	case <-c.ctx.Done():
		return
	}
	started := time.Now()
	record, err := c.fetchRecord(f)
	if c.ctx.Err() != nil {
		return
	}
	event := telemetry.Event{
		Record: f.Offer.Kind + "/" + f.Offer.Name, Revision: record.Revision,
		Bytes: len(record.Body), Peer: f.From, Elapsed: time.Since(started),
	}
	if err != nil {
		event.Revision = f.Offer.Revision
		c.metrics.fetchFailures.Inc(1)
		telemetry.ErrorS(err, "Record not received from a peer", event)
	} else {
		telemetry.InfoS("Record received from a peer", event)
	}
	c.stepGossip(nil, func(s *spread.Gossip) []spread.Action { return s.Fetched(f, record, err == nil) })
}

// fetchRecord returns the record of an offer, or a later revision of it.
func (c *Cluster) fetchRecord(f spread.Fetch) (spread.Record, error) {
	q := partRequest{Kind: f.Offer.Kind, Name: f.Offer.Name, Revision: f.Offer.Revision}
	var data []byte
	for {
		part, err := c.fetchPart(f.From, q)
		if err != nil {
			return spread.Record{}, err
		}
		if part.Revision < q.Revision || q.Offset > 0 && part.Revision > q.Revision || part.Size > maxEncodedBytes || len(part.Part) == 0 {
			return spread.Record{}, errors.Newf("part of revision %d, %d of %d bytes", part.Revision, len(part.Part), part.Size)
		}
		data = append(data, part.Part...)
		q.Revision, q.Offset = part.Revision, len(data)
		if len(data) < part.Size {
			continue
		}
		body, err := decompress(data)
		if err != nil {
			return spread.Record{}, err
		}
		c.encodings.put(encoding{q.Kind, q.Name, q.Revision, data})
		return spread.Record{Kind: q.Kind, Name: q.Name, Revision: q.Revision, Body: body}, nil
	}
}

// fetchPart requests a part from a peer.
func (c *Cluster) fetchPart(address string, q partRequest) (partResponse, error) {
	ctx, cancel := context.WithTimeout(c.ctx, partTimeout)
	defer cancel()
	request, err := msgpack.Marshal(q)
	if err != nil {
		return partResponse{}, errors.Wrap(err, "encode request")
	}
	response, err := c.node.Call(ctx, address, methodFetch, request)
	if err != nil {
		return partResponse{}, errors.Wrapf(err, "%s of %s", methodFetch, address)
	}
	var part partResponse
	err = msgpack.Unmarshal(response, &part)
	return part, errors.Wrapf(err, "decode response of %s", address)
}

// pushInstead returns the push of the records that are offered, for an instance whose
// version has no offers.
func (c *Cluster) pushInstead(offers *spread.Offers) *spread.Push {
	push := &spread.Push{Recovered: true}
	c.gossipMu.Lock()
	defer c.gossipMu.Unlock()
	for _, o := range offers.Offers {
		if r, ok := c.gossip.Record(o.Kind, o.Name); ok && len(r.Body) <= maxPushedBytes {
			push.Records = append(push.Records, r)
			break // a frame has room for one
		}
	}
	return push
}
