package settings

import (
	"cmp"
	"net/netip"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// minStatusPerInFlight is the minimum number of status entries per request that
// may be in flight. It is above 1 since the table's shards do not fill evenly.
const minStatusPerInFlight = 2

// Load reads the file at path on top of the defaults. If the file is invalid, the
// error wraps Faults with every fault of the file, and the returned Settings must
// not be used.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: read")
	}
	s, faults := Parse(data)
	if len(faults) > 0 {
		return Settings{}, errors.Wrapf(faults, "settings: %s", path)
	}
	return s, nil
}

// Parse parses the content of a settings file on top of the defaults.
func Parse(data []byte) (Settings, Faults) {
	s := Default()
	lines := scanLines(data)
	faults := lines.faults
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, lines.valid)
	if err != nil {
		return s, append(faults, Fault{Reason: err.Error()})
	}
	fields := s.fields()
	faults = append(faults, unknownKeys(lines, fields)...)
	faults = append(faults, assign(file, lines, fields)...)
	faults = append(faults, s.checkCombinations(lines)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return s, faults
}

// unknownKeys reports sections and keys that do not exist: a misspelled key would
// otherwise silently leave its default in force.
func unknownKeys(lines lineIndex, fields []field) Faults {
	sections := map[string]bool{}
	keys := map[settingKey]bool{}
	for _, f := range fields {
		sections[f.section] = true
		keys[settingKey{f.section, f.key}] = true
	}
	var faults Faults
	for section, line := range lines.sections {
		if !sections[section] {
			faults = append(faults, Fault{Section: section, Line: line, Reason: "unknown section"})
		}
	}
	for at, line := range lines.keys {
		if sections[at.section] && !keys[at] {
			faults = append(faults, Fault{Section: at.section, Key: at.key, Line: line, Reason: "unknown key"})
		}
		if at.section == "" {
			faults = append(faults, Fault{Key: at.key, Line: line, Reason: "key before the first section"})
		}
	}
	return faults
}

// assign parses each key of the file into its field.
func assign(file *ini.File, lines lineIndex, fields []field) Faults {
	var faults Faults
	for _, f := range fields {
		line := lines.keys[settingKey{f.section, f.key}]
		raw := f.value.format()
		if line > 0 {
			raw = file.Section(f.section).Key(f.key).Value()
		}
		reason := ""
		switch {
		case raw == "" && f.required:
			reason = "must be set"
		case raw == "" || line == 0:
			// An optional setting that is empty, or a default.
		default:
			if err := f.value.parse(raw); err != nil {
				reason = err.Error()
			}
		}
		if reason != "" {
			faults = append(faults, Fault{Section: f.section, Key: f.key, Line: line, Reason: reason})
		}
	}
	return faults
}

// checkCombinations reports settings that are invalid together.
func (s *Settings) checkCombinations(lines lineIndex) Faults {
	var faults Faults
	report := func(section, key, reason string) {
		line := lines.keys[settingKey{section, key}]
		faults = append(faults, Fault{Section: section, Key: key, Line: line, Reason: reason})
	}
	files := []struct{ key, path string }{
		{"tls_cert", s.Peers.TLSCert},
		{"tls_key", s.Peers.TLSKey},
		{"tls_ca", s.Peers.TLSCA},
	}
	anyTLS := s.Peers.TLSCert != "" || s.Peers.TLSKey != "" || s.Peers.TLSCA != ""
	for _, f := range files {
		if anyTLS && f.path == "" {
			report("peers", f.key, "must be set: mutual TLS needs tls_cert, tls_key and tls_ca")
		}
	}
	// The status of a running request is never evicted, so if running requests
	// could fill the table, new requests would have no status.
	if s.Status.RingSize < minStatusPerInFlight*s.Limits.MaxInFlight {
		report("status", "ring_size", "must be at least twice [limits] max_in_flight")
	}
	if len(s.Scheduling.AccountWeights) > 0 && !s.Scheduling.AccountSharing {
		report("scheduling", "account_weights", "needs [scheduling] account_sharing = true")
	}
	peers, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return faults
	}
	if peers.Addr().IsUnspecified() {
		report("listen", "peers", "other instances are told to connect to this address: it can't be unspecified")
	}
	// Without mutual TLS, any host that can reach the port could impersonate an
	// instance and serve records and responses.
	if !anyTLS && !s.Peers.Cleartext && !peers.Addr().Unmap().IsLoopback() {
		report("listen", "peers", "without mutual TLS ([peers] tls_cert, tls_key, tls_ca) only a loopback address is allowed")
	}
	return faults
}
