package settings

import (
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// value parses and formats one typed setting. If parse returns an error, it leaves
// the setting unchanged.
type value interface {
	parse(raw string) error
	format() string
}

// text is a string, optionally restricted by a pattern.
type text struct {
	p       *string
	pattern *regexp.Regexp
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// name returns a string setting that is valid in object names and request ids.
func name(p *string) text { return text{p: p, pattern: namePattern} }

func (t text) parse(raw string) error {
	if t.pattern != nil && !t.pattern.MatchString(raw) {
		return errors.Newf("%q is not a name: want up to 63 of a-z, 0-9, '.' and '-', with a letter or digit at both ends", raw)
	}
	*t.p = raw
	return nil
}

func (t text) format() string { return *t.p }

// address is an IP:port to listen on; port 0 selects a free port.
type address struct{ p *string }

func (a address) parse(raw string) error {
	if _, err := netip.ParseAddrPort(raw); err != nil {
		return errors.Newf("%q is not an IP address with a port, such as 127.0.0.1:8080", raw)
	}
	*a.p = raw
	return nil
}

func (a address) format() string { return *a.p }

// ipAddress is an IP address without a port.
type ipAddress struct{ p *string }

func (a ipAddress) parse(raw string) error {
	if _, err := netip.ParseAddr(raw); err != nil {
		return errors.Newf("%q is not an IP address, such as 10.1.0.41", raw)
	}
	*a.p = raw
	return nil
}

func (a ipAddress) format() string { return *a.p }

// addressList is a comma-separated list of IP:port to connect to.
type addressList struct{ p *[]string }

func (l addressList) parse(raw string) error {
	var list []string
	for item := range strings.SplitSeq(raw, ",") {
		item = strings.TrimSpace(item)
		addr, err := netip.ParseAddrPort(item)
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			return errors.Newf("%q is not the IP address and port of a peer", item)
		}
		list = append(list, item)
	}
	*l.p = list
	return nil
}

func (l addressList) format() string { return strings.Join(*l.p, ", ") }

// httpURL is an absolute http or https URL. Credentials are refused, since they
// would appear in logs and errors.
type httpURL struct{ p *string }

func (u httpURL) parse(raw string) error {
	parsed, err := url.Parse(raw)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return errors.New("not an absolute http or https URL")
	}
	if parsed.User != nil {
		return errors.New("a URL here can't hold credentials")
	}
	*u.p = raw
	return nil
}

func (u httpURL) format() string { return *u.p }

// duration is a Go duration from min to max.
type duration struct {
	p        *time.Duration
	min, max time.Duration
}

func (d duration) parse(raw string) error {
	v, err := time.ParseDuration(raw)
	if err != nil {
		return errors.Newf("%q is not a duration, such as 500ms, 30s or 10m", raw)
	}
	if v < d.min || v > d.max {
		return errors.Newf("%s is out of range: want %s to %s", v, d.min, d.max)
	}
	*d.p = v
	return nil
}

func (d duration) format() string { return d.p.String() }

// boolean is true or false.
type boolean struct{ p *bool }

func (b boolean) parse(raw string) error {
	v, err := strconv.ParseBool(raw)
	if err != nil {
		return errors.Newf("%q is neither true nor false", raw)
	}
	*b.p = v
	return nil
}

func (b boolean) format() string { return strconv.FormatBool(*b.p) }

// integer is a whole number from min to max.
type integer[T int | int64] struct {
	p        *T
	min, max T
}

func (i integer[T]) parse(raw string) error {
	v, err := strconv.ParseInt(raw, 10, 64)
	if err != nil {
		return errors.Newf("%q is not a whole number", raw)
	}
	if v < int64(i.min) || v > int64(i.max) {
		return errors.Newf("%d is out of range: want %d to %d", v, i.min, i.max)
	}
	*i.p = T(v)
	return nil
}

func (i integer[T]) format() string { return strconv.FormatInt(int64(*i.p), 10) }

// float is a number from min to max.
type float struct {
	p        *float64
	min, max float64
}

func (f float) parse(raw string) error {
	v, err := strconv.ParseFloat(raw, 64)
	if err != nil {
		return errors.Newf("%q is not a number", raw)
	}
	// Negated so that NaN, for which both comparisons are false, is out of range.
	if !(v >= f.min && v <= f.max) {
		return errors.Newf("%g is out of range: want %g to %g", v, f.min, f.max)
	}
	*f.p = v
	return nil
}

func (f float) format() string { return strconv.FormatFloat(*f.p, 'g', -1, 64) }

// weights is a comma-separated list of NAME=WEIGHT with weights from min to max.
type weights struct {
	p        *map[string]float64
	min, max float64
}

func (w weights) parse(raw string) error {
	parsed := map[string]float64{}
	for item := range strings.SplitSeq(raw, ",") {
		name, text, ok := strings.Cut(item, "=")
		name = strings.TrimSpace(name)
		if !ok || name == "" {
			return errors.Newf("%q is not NAME=WEIGHT", strings.TrimSpace(item))
		}
		if _, repeated := parsed[name]; repeated {
			return errors.Newf("%q has two weights", name)
		}
		var weight float64
		if err := (float{&weight, w.min, w.max}).parse(strings.TrimSpace(text)); err != nil {
			return errors.Wrapf(err, "weight of %q", name)
		}
		parsed[name] = weight
	}
	*w.p = parsed
	return nil
}

func (w weights) format() string {
	items := make([]string, 0, len(*w.p))
	for _, name := range slices.Sorted(maps.Keys(*w.p)) {
		items = append(items, name+"="+strconv.FormatFloat((*w.p)[name], 'g', -1, 64))
	}
	return strings.Join(items, ", ")
}
