// Package claim decides, as a pure state machine, whether a call with an
// idempotency key may dispatch work that may not be repeated.
//
// A claim is one record a key in the platform's store, made by
// create-if-absent before anything is dispatched. It is permanent until its
// retention ends; it is not a lease. Nobody takes over a claim that may have
// been dispatched, so a paused or dead claimant is harmless. A claim that its
// claimant has given up before dispatch is taken over by a conditional update.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// MaxBody is the greatest body, in bytes, that a claim keeps. In base64 it
// stays, with its envelope, under the store's limit of a megabyte.
const MaxBodyBytes = 720 << 10

// Key names a request that may not be repeated.
type Key struct {
	Account        string
	IdempotencyKey string
}

// ID is the digest of a Key. Only the digest is stored or sent to peers.
type ID [sha256.Size]byte

// ID returns the digest of the key. The account's length goes in front, so
// that no two keys share an input.
func (k Key) ID() ID {
	buf := binary.BigEndian.AppendUint64(nil, uint64(len(k.Account)))
	buf = append(buf, k.Account...)
	buf = append(buf, k.IdempotencyKey...)
	return sha256.Sum256(buf)
}

// String returns the digest in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// BodyDigest is the SHA-256 digest of a call's body.
type BodyDigest [sha256.Size]byte

// MarshalText returns the digest in hexadecimal.
func (d BodyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads the form of MarshalText.
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

// Token names one attempt to claim. Attempt is unique within the Owner.
type Token struct {
	Owner   Owner  `json:"owner" msgpack:"o"`
	Attempt uint64 `json:"attempt" msgpack:"a"`
}

// String returns the token in a form for logs.
func (t Token) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Owner.Instance, t.Owner.Incarnation, t.Attempt)
}

// Outcome says what became of the work behind a claim.
type Outcome string

// The outcomes. They equal the outcomes of the callers' interface.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Kept is the outcome that a claim keeps, so that a retry gets the answer of
// the first run.
type StoredResult struct {
	Outcome     Outcome `json:"outcome" msgpack:"o"`
	Status      int     `json:"status" msgpack:"s"`
	ContentType string  `json:"content_type,omitempty" msgpack:"c"`
	// Body is empty when the answer was longer than MaxBody; BodyLength and
	// BodyDigest still describe it.
	Body       []byte     `json:"body,omitempty" msgpack:"b"`
	BodyLength int        `json:"body_length" msgpack:"l"`
	BodyDigest BodyDigest `json:"body_digest" msgpack:"d"`
}

// Whole tells whether the kept body is the whole answer.
func (k *StoredResult) Complete() bool { return len(k.Body) == k.BodyLength }

// Fit returns the outcome in the form that is kept: with its digest, and
// without its body when that is longer than MaxBody.
func (k StoredResult) ForStorage() StoredResult {
	k.BodyLength = len(k.Body)
	k.BodyDigest = sha256.Sum256(k.Body)
	if len(k.Body) > MaxBodyBytes {
		k.Body = nil
	}
	return k
}

// Record is a claim as it stands in the store.
type Record struct {
	Token      Token      `json:"token"`
	BodyDigest BodyDigest `json:"body"`
	// Made is when the claimant made the claim, on its wall clock.
	CreatedAt time.Time `json:"made"`
	// Abandoned says that nothing was or ever will be dispatched under Token.
	Abandoned bool `json:"abandoned,omitempty"`
	// Kept is nil until the outcome is recorded.
	Result *StoredResult `json:"kept,omitempty"`
}

// Released tells whether the record itself proves that nothing was or ever
// will be dispatched under its token, so that the key may be claimed anew.
func (r *Record) Released() bool {
	return r.Abandoned || (r.Result != nil && r.Result.Outcome == OutcomeNotRun)
}

// Question asks a claimant what became of one of its tokens.
type StatusRequest struct {
	ID    ID    `msgpack:"i"`
	Token Token `msgpack:"t"`
}

// PeerState is a claimant's answer about one of its tokens.
type TokenState string

// The states of a token.
const (
	// PeerRunning: the claim may be or become dispatched. Ask again later.
	TokenRunning TokenState = "running"
	// PeerFinished: the work is over. PeerAnswer.Kept holds the outcome when
	// the claimant still has it, else the store does.
	TokenFinished TokenState = "finished"
	// PeerAbandoned: nothing was or ever will be dispatched under the token.
	TokenAbandoned TokenState = "abandoned"
	// PeerForgotten: the claimant can't tell: another incarnation answers, or
	// its bounded memory has let the token go.
	TokenForgotten TokenState = "forgotten"
)

// PeerAnswer is the answer to a Question.
type StatusResponse struct {
	State  TokenState    `msgpack:"s"`
	Result *StoredResult `msgpack:"k"`
}
