package record

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Limits on the contents of a record.
const (
	// MaxSpecBytes is the maximum size of one spec.
	MaxSpecBytes = 64 << 10
	// MaxMilliseconds is the maximum of every duration in a record: one hour.
	MaxMilliseconds = 3_600_000
	MaxStages       = 16
	MaxAttempts     = 10
	// DefaultMaxAttempts applies to a pipeline without max_attempts.
	DefaultMaxAttempts = 3
	// MaxKeys allows an account to rotate its key without interruption.
	MaxKeys      = 2
	MaxRank      = 99
	MaxPriority  = 9
	MaxSlots     = 100_000
	MaxTokens    = 1_000_000
	MaxRequestsS = 1_000_000
	// MaxOverrides is the maximum number of tiers for which a pipeline sets a
	// deadline of its own.
	MaxOverrides = 100
)

// Decode decodes the spec of a record into a catalog item with the given
// revision. A non-nil error is always a Faults with every fault of the spec.
func Decode(kind catalog.RecordKind, name string, revision uint64, spec []byte) (catalog.Item, error) {
	list := &faultList{text: spec}
	item := decode(list, kind, name, revision, spec)
	if len(list.faults) > 0 {
		slices.SortStableFunc(list.faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, list.faults
	}
	return item, nil
}

func decode(list *faultList, kind catalog.RecordKind, name string, revision uint64, spec []byte) catalog.Item {
	root, ok := parseSpec(list, spec)
	if !ok {
		return nil
	}
	d := &specDecoder{list: list, name: name, revision: revision, root: newObject(list, "", root)}
	read := d.decoderFor(kind)
	if read == nil {
		list.faults = append(list.faults, Fault{Field: "kind", Reason: quote(string(kind)) + " is not a kind of record"})
		return nil
	}
	return read()
}

func parseSpec(list *faultList, spec []byte) (value, bool) {
	if len(spec) > MaxSpecBytes {
		list.faults = append(list.faults, Fault{Reason: fmt.Sprintf("is longer than %d bytes", MaxSpecBytes)})
		return value{}, false
	}
	values, err := parse(spec)
	if err != nil {
		list.faults = append(list.faults, syntaxFault(spec, err))
		return value{}, false
	}
	if len(values) != 1 {
		list.faults = append(list.faults, Fault{Reason: fmt.Sprintf("must be one JSON object, not %d values", len(values))})
		return value{}, false
	}
	root := values[0]
	if root.kind != valueObject {
		list.add(root.offset, "", "must be an object, not %s", root.kind)
		return value{}, false
	}
	return root, true
}

// specDecoder decodes one spec and collects its faults.
type specDecoder struct {
	list     *faultList
	name     string
	revision uint64
	root     *object
}

func (d *specDecoder) decoderFor(kind catalog.RecordKind) func() catalog.Item {
	switch kind {
	case catalog.RecordPools:
		return d.pool
	case catalog.RecordTiers:
		return d.tier
	case catalog.RecordPipelines:
		return d.pipeline
	case catalog.RecordAccounts:
		return d.account
	}
	return nil
}

// schemaVersion returns the schema version and whether it is a known one. The
// other fields are read only if it is, since their meaning depends on it.
func (d *specDecoder) schemaVersion(known ...int) (int, bool) {
	v, ok := d.root.get("schema_version", valueNumber, true)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(v.text)
	if err != nil || !slices.Contains(known, n) {
		d.root.fault("schema_version", "%s is not a known schema version of this kind; known: %v", truncate(v.text), known)
		return 0, false
	}
	return n, true
}

func (d *specDecoder) checkRecordName() {
	if reason := checkName(d.name); reason != "" {
		d.list.faults = append(d.list.faults, Fault{Field: "name", Reason: reason})
	}
}

func (d *specDecoder) tier() catalog.Item {
	d.checkRecordName()
	if _, ok := d.schemaVersion(1); !ok {
		return nil
	}
	t := &catalog.Tier{Name: d.name, Revision: d.revision}
	t.Rank, _ = d.root.integer("rank", 0, MaxRank, true)
	t.Deadline = d.root.milliseconds("deadline_ms")
	t.EnginePriority, _ = d.root.integer("engine_priority", 0, MaxPriority, true)
	d.root.reportUnknown()
	return t
}

func (d *specDecoder) account() catalog.Item {
	d.checkRecordName()
	if _, ok := d.schemaVersion(1); !ok {
		return nil
	}
	a := &catalog.Account{Name: d.name, Revision: d.revision}
	a.Tier = d.root.name("tier")
	a.KeyHashes = d.keys()
	a.RequestsPerSecond = d.root.number("requests_per_s", 0, MaxRequestsS, true)
	a.Burst = d.root.number("burst", 0, MaxRequestsS, true)
	if a.RequestsPerSecond > 0 && a.Burst < 1 && d.root.has("burst") {
		d.root.fault("burst", "must be at least 1 when requests_per_s is above 0: no request would ever pass")
	}
	d.root.reportUnknown()
	return a
}

func (d *specDecoder) keys() [][32]byte {
	v, ok := d.root.get("keys", valueArray, true)
	if !ok {
		return nil
	}
	if len(v.items) < 1 || len(v.items) > MaxKeys {
		d.root.fault("keys", "must hold 1 to %d keys, not %d", MaxKeys, len(v.items))
		return nil
	}
	var hashes [][32]byte
	for i, item := range v.items {
		key := newObject(d.list, fmt.Sprintf("keys[%d]", i), item)
		if hash, ok := key.sha256("sha256"); ok {
			if slices.Contains(hashes, hash) {
				key.fault("sha256", "stands twice")
			}
			hashes = append(hashes, hash)
		}
		key.reportUnknown()
	}
	return hashes
}

func (o *object) sha256(name string) (hash [32]byte, ok bool) {
	v, ok := o.get(name, valueString, true)
	if !ok {
		return hash, false
	}
	raw, err := hex.DecodeString(v.text)
	if err != nil || len(raw) != len(hash) {
		// The text is left out of the message: it may be the key itself by mistake.
		o.fault(name, "must be the SHA-256 digest of the key, as 64 hexadecimal digits")
		return hash, false
	}
	copy(hash[:], raw)
	return hash, true
}

// deadlines reads the optional deadlines by tier. A deadline below the critical
// path of the stages is a fault.
func (d *specDecoder) deadlines(criticalPath time.Duration) map[string]time.Duration {
	v, ok := d.root.get("deadlines_ms", valueObject, false)
	if !ok {
		return nil
	}
	if len(v.members) > MaxOverrides {
		d.root.fault("deadlines_ms", "holds more than %d tiers", MaxOverrides)
		return nil
	}
	tiers := newObject(d.list, "deadlines_ms", v)
	deadlines := make(map[string]time.Duration, len(v.members))
	for _, m := range v.members {
		if reason := checkName(m.name); reason != "" {
			d.list.add(m.offset, "deadlines_ms", "%s", reason)
			continue
		}
		deadline := tiers.milliseconds(m.name)
		if deadline > 0 && deadline < criticalPath {
			tiers.fault(m.name, "%d is less than the %d ms that the stages are expected to take",
				deadline.Milliseconds(), criticalPath.Milliseconds())
		}
		deadlines[m.name] = deadline
	}
	return deadlines
}
