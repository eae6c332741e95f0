package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits on the size of a frame, in bytes after the length prefix.
const (
	// MaxFrame is the maximum size of a frame.
	MaxFrame = 1 << 20
	// MaxHandshakeFrame is the maximum size of a frame from a peer whose
	// handshake is not complete.
	MaxHandshakeFrame = 4 << 10
	// headerSize is the size of the length prefix.
	headerSize = 4
)

// Framing errors. ErrUnknownType does not make the connection unusable: the
// receiver counts the message and continues with the next frame.
var (
	ErrFrameSize   = errors.New("frame size out of bounds")
	ErrUnknownType = errors.New("unknown message type")
	ErrMalformed   = errors.New("malformed message")
)

// Encode returns a complete frame: length, type and msgpack body.
func Encode(m Message) ([]byte, error) {
	t := typeOf(m)
	if t == 0 {
		return nil, errors.Wrapf(ErrUnknownType, "encode %T", m)
	}
	var buf bytes.Buffer
	buf.Write([]byte{0, 0, 0, 0, byte(t)})
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(!usesFieldNames(t))
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	frame := buf.Bytes()
	size := len(frame) - headerSize
	if size > MaxFrame {
		return nil, errors.Wrapf(ErrFrameSize, "encode %T: %d bytes", m, size)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// usesFieldNames reports whether a type is encoded as a map with field names. The
// handshake is, because both ends must be able to read it at any version.
func usesFieldNames(t Type) bool { return t == TypeHello || t == TypeWelcome }

// Decode decodes the body of a frame: type and msgpack.
func Decode(body []byte) (Message, error) {
	if len(body) == 0 {
		return nil, errors.Wrap(ErrFrameSize, "empty frame")
	}
	t := Type(body[0])
	m := newMessage(t)
	if m == nil {
		return nil, errors.Wrapf(ErrUnknownType, "type %d", t)
	}
	if err := checkBounds(body[1:]); err != nil {
		return nil, errors.Wrapf(err, "decode type %d", t)
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(body[1:]))
	if err := dec.Decode(m); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode type %d: %v", t, err)
	}
	return m, nil
}

// ReadFrame reads the body of one frame. It rejects a length of zero or above
// limit before it allocates a buffer, so that a hostile or faulty sender cannot
// exhaust the memory.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || uint64(size) > uint64(limit) {
		return nil, errors.Wrapf(ErrFrameSize, "%d bytes, limit %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "frame cut short")
	}
	return body, nil
}
