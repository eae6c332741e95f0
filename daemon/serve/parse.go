package serve

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Bounds of a request's fields.
const (
	maxIdempotencyKeyLength = 128
	maxCallerKeyLength      = 256
	maxPrefixParts          = 64
	maxMaxTokens            = 1 << 20
	bearerPrefix            = "Bearer "
	// bodyTimeout is the time limit for reading a body.
	bodyTimeout = 5 * time.Second
)

// callerRequest is an authenticated and validated request of a caller.
type callerRequest struct {
	snapshot       *catalog.Snapshot
	account        *catalog.Account
	tier           *catalog.Tier
	pipeline       *catalog.Pipeline
	body           callerapi.Request
	digest         [sha256.Size]byte
	idempotencyKey string
	stream         bool
}

// authenticate returns the client account that the caller's key belongs to.
//
// To prevent timing attacks, keys are looked up by their digest, since a caller can't
// choose a key whose digest resembles a stored one, and digests are compared in constant
// time.
func authenticate(r *http.Request, s *catalog.Snapshot) (*catalog.Account, *callerapi.Problem) {
	refuse := func(detail string) (*catalog.Account, *callerapi.Problem) {
		return nil, refusal(http.StatusUnauthorized, typeUnauthenticated, detail)
	}
	header := r.Header.Get("Authorization")
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" || len(key) > maxCallerKeyLength {
		return refuse("send the client account's key as Authorization: Bearer KEY")
	}
	digest := sha256.Sum256([]byte(key))
	account, ok := s.AccountByKey(digest)
	if !ok {
		return refuse("the key belongs to no client account")
	}
	for i := range account.KeyHashes {
		if subtle.ConstantTimeCompare(account.KeyHashes[i][:], digest[:]) == 1 {
			return account, nil
		}
	}
	return refuse("the key belongs to no client account")
}

// readRequest authenticates a request, and reads and validates its headers and body.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *callerapi.Problem) {
	snapshot := s.opts.Config()
	if snapshot == nil {
		p := refusal(http.StatusServiceUnavailable, typeStarting, "no configuration is known yet")
		return nil, withRetryAfter(p, 0)
	}
	account, problem := authenticate(r, snapshot)
	if problem != nil {
		return nil, problem
	}
	c := &callerRequest{snapshot: snapshot, account: account}
	if problem := c.resolvePipeline(r); problem != nil {
		return nil, problem
	}
	tier, ok := snapshot.Tier(account.Tier)
	if !ok {
		p := refusal(http.StatusServiceUnavailable, typeStarting, "the account's tier is not known yet")
		return nil, withRetryAfter(p, 0)
	}
	c.tier = tier
	if problem := c.readIdempotencyKey(r); problem != nil {
		return nil, problem
	}
	c.stream = strings.Contains(r.Header.Get("Accept"), callerapi.MediaStream)
	return c, s.readBody(w, r, c)
}

func (c *callerRequest) resolvePipeline(r *http.Request) *callerapi.Problem {
	version := 0
	if text := r.Header.Get(callerapi.HeaderSchemaVersion); text != "" {
		v, err := strconv.Atoi(text)
		if err != nil || v < 1 {
			return fieldRefusal(callerapi.HeaderSchemaVersion, "not a positive whole number")
		}
		version = v
	}
	name := r.PathValue("pipeline")
	pipeline, ok := c.snapshot.Pipeline(name, version)
	if !ok {
		return refusal(http.StatusNotFound, typeNotFound, "no such pipeline, or not in that schema version")
	}
	c.pipeline = pipeline
	return nil
}

// readIdempotencyKey reads the idempotency key. It rejects a non-repeatable request
// without one: a caller that lost the response could not retry without a second run.
func (c *callerRequest) readIdempotencyKey(r *http.Request) *callerapi.Problem {
	c.idempotencyKey = r.Header.Get(callerapi.HeaderIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyLength {
		return fieldRefusal(callerapi.HeaderIdempotencyKey, "longer than 128 characters")
	}
	if c.idempotencyKey == "" && !c.pipeline.Repeatable() {
		detail := "this pipeline may not be repeated: send an idempotency key of your own making"
		p := refusal(http.StatusBadRequest, typeKeyRequired, detail)
		p.Field = callerapi.HeaderIdempotencyKey
		return p
	}
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *callerRequest) *callerapi.Problem {
	// Without a read deadline, a caller that sends its body byte by byte would occupy
	// its slot forever.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(s.opts.Now().Add(bodyTimeout)) // unsupported only in tests
	if wrapped, ok := w.(*timeoutWriter); ok {
		w = wrapped.ResponseWriter // MaxBytesReader can close the connection only through this writer
	}
	limited := http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes)
	raw, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(http.StatusRequestEntityTooLarge, typeTooLarge, "the body is over the instance's limit")
	}
	if err != nil {
		// The read deadline stays set: net/http reads the remaining body before it
		// sends the response.
		return fieldRefusal("body", "could not be read whole")
	}
	_ = control.SetReadDeadline(time.Time{}) // unsupported only in tests
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c.body); err != nil {
		return fieldRefusal(jsonField(err), linePosition(raw, decoder.InputOffset())+": "+err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fieldRefusal("body", linePosition(raw, decoder.InputOffset())+": something follows the JSON object")
	}
	c.digest = c.requestDigest(raw)
	return validateBody(&c.body)
}

// requestDigest returns the digest by which two requests with the same idempotency
// key are compared. It covers the pipeline's name and schema version and the body.
func (c *callerRequest) requestDigest(raw []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(c.pipeline.Key.Name))
	h.Write([]byte{0})
	h.Write(strconv.AppendInt(nil, int64(c.pipeline.Key.SchemaVersion), 10))
	h.Write([]byte{0})
	h.Write(raw)
	return [sha256.Size]byte(h.Sum(nil))
}

func validateBody(b *callerapi.Request) *callerapi.Problem {
	if b.MaxTokens < 0 || b.MaxTokens > maxMaxTokens {
		return fieldRefusal("max_tokens", "must lie between 0 and 1048576")
	}
	if len(b.Prefix) > maxPrefixParts {
		return fieldRefusal("prefix", "more than 64 parts")
	}
	for i, part := range b.Prefix {
		if part.ID == "" || part.Tokens <= 0 {
			return fieldRefusal("prefix["+strconv.Itoa(i)+"]", "needs an id and a positive number of tokens")
		}
	}
	return nil
}

// jsonField returns the field that a JSON error refers to, or "body" if it names none.
func jsonField(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return typeError.Field
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return strings.Trim(name, `"`)
	}
	return "body"
}

func linePosition(raw []byte, offset int64) string {
	offset = min(offset, int64(len(raw)))
	line := 1 + bytes.Count(raw[:offset], []byte{'\n'})
	return "line " + strconv.Itoa(line)
}
