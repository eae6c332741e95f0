package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

var sampleMember = membership.Member{
	Name: "i1", Address: "127.0.0.1:7", CallerURL: "http://127.0.0.1:8", DataCentre: "kochi-1",
	Incarnation: 1 << 60, Refutation: 3, State: membership.Suspect,
}

func sampleMessages() []Message {
	hello := Hello{Version: Version, Cluster: "c", Name: "i1", Address: "127.0.0.1:7", Incarnation: 9}
	updates := []membership.Member{sampleMember, sampleMember}
	return []Message{
		&hello,
		&Welcome{Code: CodeCluster, Reason: "other", Hello: hello},
		&Heartbeat{Seq: 4}, &HeartbeatAck{Seq: 4},
		&membership.Ping{Seq: 1, Digest: 1 << 63, Updates: updates},
		&membership.PingReq{Seq: 1, Target: "i2", Address: "a", Updates: updates},
		&membership.Ack{Seq: 1, Digest: 2, Updates: updates},
		&membership.SyncRequest{After: "i1"},
		&membership.SyncResponse{Members: updates, Next: "i2"},
		&spread.Push{Records: []spread.Record{{Kind: "tiers", Name: "gold", Revision: 7, Deleted: true, Body: []byte{1}}}, Recovered: true},
		&spread.Pull{Root: 1, NewestRevision: 8, Bucket: -1, Leaves: []uint64{1, 1 << 63}},
		&spread.PullResponse{InSync: true, Buckets: []uint64{3}},
		&spread.Loads{Digests: []spread.LoadDigest{{Origin: "i1", Incarnation: 2, Seq: 3, AgeMillis: 4, Body: []byte{5}}}},
		&spread.Offers{Offers: []spread.Offer{{Kind: "tiers", Name: "gold", Revision: 7, Size: 8}}},
		&Request{ID: 1, Method: "claims.ask", TimeoutMillis: 100, Body: []byte("q")},
		&Response{ID: 1, Code: CodeFailed, Reason: "why", Body: []byte("a")},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		frame, err := Encode(m)
		require.NoError(t, err)
		body, err := ReadFrame(bytes.NewReader(frame), MaxFrame)
		require.NoError(t, err)
		back, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, m, back)
	}
}

// rawFrame returns body with a length prefix of size, which may be wrong.
func rawFrame(size uint32, body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, size), body...)
}

// Input of a client of another protocol, a faulty process or an attacker must be
// rejected at once with a specific error, without using memory.
func TestBadFrames(t *testing.T) {
	deep := append([]byte{byte(TypePing)}, bytes.Repeat([]byte{0x91}, 20)...)
	manyMembers := []byte{byte(TypePing), 0x93, 1, 1, 0xdd, 0, 0x10, 0, 0}
	cases := []struct {
		name  string
		input []byte
		want  error
		text  string
	}{
		{"empty frame", rawFrame(0), ErrFrameSize, "0 bytes"},
		{"one byte too long", rawFrame(MaxFrame+1, 1), ErrFrameSize, "limit"},
		{"four gigabytes", rawFrame(1<<32-1, 1), ErrFrameSize, "limit"},
		{"an HTTP request", []byte("GET / HTTP/1.1\r\n\r\n"), ErrFrameSize, "limit"},
		{"cut in the length", []byte{0, 0}, io.ErrUnexpectedEOF, ""},
		{"cut in the body", rawFrame(9, 1, 2), io.ErrUnexpectedEOF, "cut short"},
		{"type of a later version", rawFrame(2, 200, 0xc0), ErrUnknownType, "200"},
		{"no body", rawFrame(1, byte(TypePing)), ErrMalformed, "cut short"},
		{"two bodies", rawFrame(3, byte(TypePing), 0xc0, 0xc0), ErrMalformed, "after the message"},
		{"field missing", rawFrame(3, byte(TypeHeartbeat), 0x92, 1), ErrMalformed, ""},
		{"text for a number", rawFrame(4, byte(TypeHeartbeat), 0x91, 0xa1, 'x'), ErrMalformed, ""},
		{"a million members claimed", rawFrame(uint32(len(manyMembers)), manyMembers...), ErrMalformed, "elements"},
		{"nested without end", rawFrame(uint32(len(deep)), deep...), ErrMalformed, "deeply"},
		{"extension type", rawFrame(4, byte(TypePing), 0xd4, 1, 1), ErrMalformed, "not used"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body, err := ReadFrame(bytes.NewReader(c.input), MaxFrame)
			if err == nil {
				_, err = Decode(body)
			}
			require.ErrorIs(t, err, c.want)
			require.ErrorContains(t, err, c.text)
		})
	}
	_, err := Encode(&Request{Body: make([]byte, MaxFrame)})
	require.ErrorIs(t, err, ErrFrameSize)
	_, err = Encode("text")
	require.ErrorIs(t, err, ErrUnknownType)
}

// The state machines limit their messages by estimates of encoded sizes. An
// estimate below the actual size would exceed the limit on bytes per second.
func TestEstimatedSizesAreUpperBounds(t *testing.T) {
	const overhead = headerSize + 1 + 1 + 2*9 + 3
	rapid.Check(t, func(rt *rapid.T) {
		text := func() string { return strings.Repeat("x", rapid.IntRange(0, 300).Draw(rt, "len")) }
		m := membership.Member{
			Name: text(), Address: text(), CallerURL: text(), DataCentre: text(),
			Incarnation: rapid.Uint64().Draw(rt, "incarnation"), Refutation: rapid.Uint32().Draw(rt, "refutation"),
			State: membership.Left,
		}
		ping, err := Encode(&membership.Ping{Seq: 1 << 63, Digest: 1 << 63, Updates: []membership.Member{m, m}})
		require.NoError(rt, err)
		require.LessOrEqual(rt, len(ping), overhead+2*membership.EncodedSize(m))
		r := spread.Record{Kind: text(), Name: text(), Revision: rapid.Uint64().Draw(rt, "revision"), Body: []byte(text())}
		push, err := Encode(&spread.Push{Records: []spread.Record{r, r}})
		require.NoError(rt, err)
		require.LessOrEqual(rt, len(push), overhead+2*spread.RecordSize(r))
	})
}

// FuzzFrame reads arbitrary bytes as frames: decoding must not panic, no frame
// may exceed the limit, and a decoded message must encode again.
func FuzzFrame(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := Encode(m)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 0, 0, 9, byte(TypePing), 0x93, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bytes.NewReader(input)
		for {
			body, err := ReadFrame(r, MaxFrame)
			if err != nil {
				return
			}
			m, err := Decode(body)
			if err != nil {
				continue
			}
			again, err := Encode(m)
			require.NoError(t, err)
			back, err := Decode(again[headerSize:])
			require.NoError(t, err)
			// Nil and empty slices decode differently, so compare the bytes.
			third, err := Encode(back)
			require.NoError(t, err)
			require.Equal(t, again, third)
		}
	})
}
