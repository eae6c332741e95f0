package peer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Limits on the structure of a message.
const (
	// maxElements is the maximum number of elements of an array or map.
	maxElements = 4096
	// maxDepth is the maximum nesting depth; the deepest message has 4 levels.
	maxDepth = 8
)

// checkBounds validates the structure of a msgpack value without decoding it.
// The decoder allocates a slice of the length in an array's header before it
// reads the first element, so a frame of a few bytes could claim four billion
// members and exhaust the memory. checkBounds compares every header with the
// bytes that remain in the frame and with maxElements.
func checkBounds(b []byte) error {
	trailing, err := skipValue(b, maxDepth)
	if err != nil {
		return err
	}
	if len(trailing) != 0 {
		return errors.Wrapf(ErrMalformed, "%d bytes after the message", len(trailing))
	}
	return nil
}

// skipValue returns the bytes that follow the first value of b.
func skipValue(b []byte, depth int) ([]byte, error) {
	if depth == 0 {
		return nil, errors.Wrap(ErrMalformed, "nested too deeply")
	}
	if len(b) == 0 {
		return nil, errors.Wrap(ErrMalformed, "cut short")
	}
	c, b := b[0], b[1:]
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return b, nil
	case msgpcode.IsFixedString(c):
		return skipBytes(b, int(c&msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(c):
		return skipElements(b, int(c&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedMap(c):
		return skipElements(b, 2*int(c&msgpcode.FixedMapMask), depth)
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(b, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skipBytes(b, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(b, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(b, 8)
	case msgpcode.Str8, msgpcode.Bin8:
		return skipLengthPrefixed(b, 1)
	case msgpcode.Str16, msgpcode.Bin16:
		return skipLengthPrefixed(b, 2)
	case msgpcode.Str32, msgpcode.Bin32:
		return skipLengthPrefixed(b, 4)
	case msgpcode.Array16:
		return skipContainer(b, 2, 1, depth)
	case msgpcode.Array32:
		return skipContainer(b, 4, 1, depth)
	case msgpcode.Map16:
		return skipContainer(b, 2, 2, depth)
	case msgpcode.Map32:
		return skipContainer(b, 4, 2, depth)
	}
	return nil, errors.Wrapf(ErrMalformed, "code %#x is not used", c)
}

// skipBytes skips n bytes.
func skipBytes(b []byte, n int) ([]byte, error) {
	if n > len(b) {
		return nil, errors.Wrap(ErrMalformed, "cut short")
	}
	return b[n:], nil
}

// skipLengthPrefixed skips a string or binary value whose length field has the
// given width in bytes.
func skipLengthPrefixed(b []byte, width int) ([]byte, error) {
	n, b, err := readLength(b, width)
	if err != nil {
		return nil, err
	}
	return skipBytes(b, n)
}

// skipContainer skips an array or map whose element count has the given width in
// bytes; a map has two values per element.
func skipContainer(b []byte, width, perElement, depth int) ([]byte, error) {
	n, b, err := readLength(b, width)
	if err != nil {
		return nil, err
	}
	if n > maxElements {
		return nil, errors.Wrapf(ErrMalformed, "%d elements, limit %d", n, maxElements)
	}
	return skipElements(b, n*perElement, depth)
}

// skipElements skips n values.
func skipElements(b []byte, n, depth int) ([]byte, error) {
	var err error
	for range n {
		if b, err = skipValue(b, depth-1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// readLength reads a big-endian length of 1, 2 or 4 bytes.
func readLength(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, errors.Wrap(ErrMalformed, "cut short")
	}
	var buf [4]byte
	copy(buf[4-width:], b)
	return int(binary.BigEndian.Uint32(buf[:])), b[width:], nil
}
