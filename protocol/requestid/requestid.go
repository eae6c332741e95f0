// Package requestid makes and reads request ids. An id names the instance and
// the incarnation that serve the request, so that any instance can pass on a
// question about it without a call to the platform.
package requestid

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	separator = "."
	base      = 36
)

// maxLength bounds an id read from outside, in bytes.
const maxLength = 160

// ErrMalformed marks an id that no instance of ours made.
var ErrMalformed = errors.New("malformed request id")

// ID is the parsed form of a request id.
type ID struct {
	Instance    string
	Incarnation uint64
	Serial      string
}

// Source makes the ids of one incarnation. It is safe for concurrent use.
type Generator struct {
	prefix string
	next   atomic.Uint64
}

// NewSource returns the source of ids for an instance and its incarnation.
func NewGenerator(instance string, incarnation uint64) *Generator {
	prefix := instance + separator + strconv.FormatUint(incarnation, base) + separator
	return &Generator{prefix: prefix}
}

// Next returns a new id. Its random part keeps one account from guessing the
// ids of another; access is checked by account all the same.
func (s *Generator) Next() string {
	serial := strconv.FormatUint(s.next.Add(1), base)
	noise := strconv.FormatUint(rand.Uint64(), base)
	return s.prefix + serial + "-" + noise
}

// Parse reads an id; its error is ErrMalformed. It splits from the end, since
// the name of an instance may hold the separator and the other parts may not.
func Parse(id string) (ID, error) {
	if len(id) > maxLength {
		return ID{}, ErrMalformed
	}
	rest, serial := cutLastSeparator(id)
	instance, number := cutLastSeparator(rest)
	if instance == "" || serial == "" {
		return ID{}, ErrMalformed
	}
	incarnation, err := strconv.ParseUint(number, base, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	return ID{Instance: instance, Incarnation: incarnation, Serial: serial}, nil
}

// cutLast splits a text at its last separator; without one nothing is before.
func cutLastSeparator(text string) (before, after string) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return "", text
	}
	return text[:i], text[i+len(separator):]
}
