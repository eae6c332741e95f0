// Package claim decides, as a pure state machine, whether a call with an
// idempotency key may dispatch work that may not be repeated.
//
// A claim is one record per key in the platform's store, created with
// create-if-absent before anything is dispatched. It is permanent until its
// retention ends; it is not a lease. A claim under which work may have been
// dispatched is never taken over, so a paused or failed claimant is harmless. A
// claim that its claimant has abandoned before dispatch is taken over by a
// conditional update.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// MaxBodyBytes is the size of the largest response body that a claim stores. In
// base64 it stays, with its envelope, below the store's limit of a megabyte.
const MaxBodyBytes = 720 << 10

// Key identifies a request that may not be repeated.
type Key struct {
	Account        string
	IdempotencyKey string
}

// ID is the digest of a Key. Only the digest is stored or sent to peers.
type ID [sha256.Size]byte

// ID returns the digest of the key. The account's length is written first, so
// that no two keys have the same input.
func (k Key) ID() ID {
	buf := binary.BigEndian.AppendUint64(nil, uint64(len(k.Account)))
	buf = append(buf, k.Account...)
	buf = append(buf, k.IdempotencyKey...)
	return sha256.Sum256(buf)
}

// String returns the digest in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// BodyDigest is the SHA-256 digest of a body.
type BodyDigest [sha256.Size]byte

// MarshalText returns the digest in hexadecimal.
func (d BodyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes the format of MarshalText.
func (d *BodyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("claim: digest of %d hexadecimal digits", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Owner is one incarnation of an instance. No two processes share an Owner.
type Owner struct {
	Instance    string `json:"instance" msgpack:"i"`
	Incarnation uint64 `json:"incarnation" msgpack:"n"`
}

// Token identifies one attempt to claim. Attempt is unique within the Owner.
type Token struct {
	Owner   Owner  `json:"owner" msgpack:"o"`
	Attempt uint64 `json:"attempt" msgpack:"a"`
}

// String returns the token in the format used in logs.
func (t Token) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Owner.Instance, t.Owner.Incarnation, t.Attempt)
}

// Outcome states whether the work behind a claim ran.
type Outcome string

// The outcomes. They equal the outcomes of the API for callers.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// StoredResult is the result that a claim stores, so that a retry gets the response
// of the first run.
type StoredResult struct {
	Outcome     Outcome `json:"outcome" msgpack:"o"`
	Status      int     `json:"status" msgpack:"s"`
	ContentType string  `json:"content_type,omitempty" msgpack:"c"`
	// Body is empty if the response body was longer than MaxBodyBytes; BodyLength
	// and BodyDigest still describe it.
	Body       []byte     `json:"body,omitempty" msgpack:"b"`
	BodyLength int        `json:"body_length" msgpack:"l"`
	BodyDigest BodyDigest `json:"body_digest" msgpack:"d"`
}

// Complete reports whether the stored body is the complete response body.
func (k *StoredResult) Complete() bool { return len(k.Body) == k.BodyLength }

// ForStorage returns the result in the form in which it is stored: with length and
// digest of the body, and without the body if that is longer than MaxBodyBytes.
func (k StoredResult) ForStorage() StoredResult {
	k.BodyLength = len(k.Body)
	k.BodyDigest = sha256.Sum256(k.Body)
	if len(k.Body) > MaxBodyBytes {
		k.Body = nil
	}
	return k
}

// Record is a claim as it is stored.
type Record struct {
	Token      Token      `json:"token"`
	BodyDigest BodyDigest `json:"body"`
	// CreatedAt is when the claimant created the claim, on its wall clock.
	CreatedAt time.Time `json:"made"`
	// Abandoned means that nothing was or ever will be dispatched under Token.
	Abandoned bool `json:"abandoned,omitempty"`
	// Result is nil until the outcome is recorded.
	Result *StoredResult `json:"kept,omitempty"`
}

// Released reports whether the record itself proves that nothing was or ever will
// be dispatched under its token, so that the key may be claimed again.
func (r *Record) Released() bool {
	return r.Abandoned || (r.Result != nil && r.Result.Outcome == OutcomeNotRun)
}

// StatusRequest requests the status of a token from its claimant.
type StatusRequest struct {
	ID    ID    `msgpack:"i"`
	Token Token `msgpack:"t"`
}

// TokenState is the state of a token, as its claimant reports it.
type TokenState string

// The states of a token.
const (
	// TokenRunning: work may have been, or may yet be, dispatched under the token.
	// The requester tries again later.
	TokenRunning TokenState = "running"
	// TokenFinished: the work is finished. StatusResponse.Result holds the result
	// if the claimant still has it; otherwise the store does.
	TokenFinished TokenState = "finished"
	// TokenAbandoned: nothing was or ever will be dispatched under the token.
	TokenAbandoned TokenState = "abandoned"
	// TokenForgotten: the state is unknown, because another incarnation responds,
	// or because the claimant no longer keeps the token.
	TokenForgotten TokenState = "forgotten"
)

// StatusResponse is the response to a StatusRequest.
type StatusResponse struct {
	State  TokenState    `msgpack:"s"`
	Result *StoredResult `msgpack:"k"`
}
