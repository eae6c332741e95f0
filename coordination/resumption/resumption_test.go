package resumption

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_000_000, 0)
	v1    = Origin{"engine", "v1"}
	v2    = Origin{"engine", "v2"}
)

// Guards against instances of two releases that look for a record at different instances, and against keys
// that few streams have.
func TestKeyNeverChanges(t *testing.T) {
	key, number := HashOf("9c41d07be2a35f68").Key()
	require.Equal(t, 8, number)
	require.Equal(t, "streams/8", key)
	counts := map[string]int{}
	for n := range 3200 {
		key, _ := HashOf(fmt.Sprintf("%016x", n)).Key()
		counts[key]++
	}
	require.Len(t, counts, KeyCount)
	for key, n := range counts {
		require.InDelta(t, 100, n, 50, key)
	}
}

// Guards against hashes that another release takes for other streams.
func TestHashNeverChanges(t *testing.T) {
	h := HashOf("9c41d07be2a35f68")
	encoded := h.Append(HashOf("a").Append(nil))
	require.Equal(t, "59dde4ed8c28aaf3ada0", hex.EncodeToString(encoded))
	require.Equal(t, []Hash{HashOf("a"), h}, DecodeHashes(append(encoded, 1)))
}

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a table that grows without bound, forgets renewed records or keeps old ones.
func TestTableKeepsRecordsForTheirLifetime(t *testing.T) {
	table := NewTable(3)
	table.Put(at(0), Record{ID: HashOf("a"), Origin: v1})
	table.Put(at(Lifetime/2), Record{ID: HashOf("b"), Origin: v1})
	table.Put(at(Lifetime/2), Record{ID: HashOf("a"), Origin: v1})
	_, found := table.Get(at(Lifetime), HashOf("a"))
	require.True(t, found, "renewed")
	table.Put(at(Lifetime), Record{ID: HashOf("c"), Origin: v1})
	require.Equal(t, 3, table.Len())
	table.Put(at(Lifetime), Record{ID: HashOf("d"), Origin: v1})
	require.Equal(t, 3, table.Len())
	_, found = table.Get(at(Lifetime), HashOf("b"))
	require.False(t, found, "the oldest is dropped")
	_, found = table.Get(at(Lifetime*3/2), HashOf("a"))
	require.False(t, found)
	require.Empty(t, table.All(at(Lifetime*2)))
	require.Zero(t, table.Len())
}

// Guards against two streams under one id of which the second takes the version of the first.
func TestContradictingRecordsAreAmbiguous(t *testing.T) {
	table := NewTable(10)
	table.Put(at(0), Record{ID: HashOf("a"), Origin: v1})
	table.Put(at(0), Record{ID: HashOf("a"), Origin: v2})
	table.Put(at(0), Record{ID: HashOf("a"), Origin: v1})
	r, found := table.Get(at(0), HashOf("a"))
	require.True(t, found)
	require.True(t, r.Ambiguous)
}

func present(versions ...string) map[string]Presence {
	return map[string]Presence{"engine": {Versions: versions, Resumable: true}}
}

// notResumable returns the presence of a service whose streams may not be taken up.
func notResumable(versions ...string) map[string]Presence {
	return map[string]Presence{"engine": {Versions: versions}}
}

// complete and incomplete return records of the store.
func complete(versions ...string) *Stored   { return &Stored{Versions: versions, Complete: true} }
func incomplete(versions ...string) *Stored { return &Stored{Versions: versions} }

// Guards against a version that is taken for the only one although another one may have begun streams.
func TestSoleVersion(t *testing.T) {
	cases := map[string]struct {
		first bool
		play  func(h *History)
		at    time.Duration
		sole  string
	}{
		"just started":              {false, func(h *History) { h.SetPresent(at(0), present("v1")) }, time.Second, ""},
		"known for long":            {false, func(h *History) { h.SetPresent(at(0), present("v1")) }, Lifetime, "v1"},
		"first start of all":        {true, func(h *History) { h.SetPresent(at(0), present("v1")) }, time.Second, "v1"},
		"just started, stored":      {false, func(h *History) { h.SetPresent(at(0), present("v1")); h.SetStored(at(0), "engine", complete("v1")) }, time.Second, "v1"},
		"replaced while none ran":   {false, func(h *History) { h.SetPresent(at(0), present("v2")); h.SetStored(at(0), "engine", complete("v1")) }, time.Second, ""},
		"no targets yet, stored":    {false, func(h *History) { h.SetPresent(at(0), present()); h.SetStored(at(0), "engine", complete("v1")) }, time.Second, "v1"},
		"record of who didn't know": {false, func(h *History) { h.SetPresent(at(0), present("v2")); h.SetStored(at(0), "engine", incomplete("v2")) }, time.Second, ""},
		"record is gone": {false, func(h *History) {
			h.SetPresent(at(0), present("v2"))
			h.SetStored(at(0), "engine", complete("v2"))
			h.SetStored(at(1), "engine", nil)
		}, time.Second, ""},
		"two":                        {false, func(h *History) { h.SetPresent(at(0), present("v1", "v2")) }, Lifetime, ""},
		"replaced a moment ago":      {false, func(h *History) { h.SetPresent(at(0), present("v1")); h.SetPresent(at(Lifetime), present("v2")) }, 2*Lifetime - 1, ""},
		"replaced long ago":          {false, func(h *History) { h.SetPresent(at(0), present("v1")); h.SetPresent(at(Lifetime), present("v2")) }, 2 * Lifetime, "v2"},
		"named after the start":      {true, func(h *History) { h.SetPresent(at(0), nil); h.SetPresent(at(1), present("v1")) }, Lifetime, ""},
		"named long after the start": {false, func(h *History) { h.SetPresent(at(0), nil); h.SetPresent(at(Lifetime), present("v1")) }, 2 * Lifetime, "v1"},
		"named again": {false, func(h *History) {
			h.SetPresent(at(0), present("v1"))
			h.SetPresent(at(Lifetime), nil)
			h.SetPresent(at(Lifetime+2), present("v1"))
		}, Lifetime + 3, ""},
		"resumable long after it had targets": {true, func(h *History) {
			h.SetPresent(at(0), nil)
			h.SetPresent(at(1), notResumable("v1"))
			h.SetPresent(at(1+Lifetime), present("v1"))
		}, 1 + Lifetime, "v1"},
		"replaced a moment before it is resumable": {true, func(h *History) {
			h.SetPresent(at(0), notResumable("v1"))
			h.SetPresent(at(Lifetime), present("v2"))
		}, Lifetime + 1, ""},
		"comes back": {false, func(h *History) {
			h.SetPresent(at(0), present("v1"))
			h.SetPresent(at(1), present("v2"))
			h.SetPresent(at(2), present("v1"))
		}, Lifetime, ""},
		"no target for a moment": {false, func(h *History) {
			h.SetPresent(at(0), present("v1"))
			h.SetPresent(at(1), present())
			h.SetPresent(at(2), present("v2"))
		}, Lifetime, ""},
		"stored by others": {false, func(h *History) {
			h.SetPresent(at(0), present("v2"))
			h.SetStored(at(Lifetime), "engine", complete("v1", "v2"))
		}, Lifetime, ""},
		"taken out of the record": {false, func(h *History) {
			h.SetPresent(at(0), present("v2"))
			h.SetStored(at(0), "engine", complete("v1", "v2"))
			h.SetStored(at(Lifetime), "engine", complete("v2"))
		}, Lifetime, "v2"},
		"a service without target": {false, func(h *History) { h.SetPresent(at(0), nil) }, Lifetime, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(start, c.first)
			c.play(h)
			require.Equal(t, c.sole, h.Sole(at(c.at), "engine"))
		})
	}
}

// Guards against an instance that takes a version out of the record that others still need, or claims to know
// what it doesn't.
func TestDesiredRecord(t *testing.T) {
	h := NewHistory(start, false)
	h.SetPresent(start, present("v2"))
	require.Equal(t, incomplete("v2"), h.Desired(start, "engine", true), "not known before")
	h.SetStored(start, "engine", complete("v1", "v2"))
	require.Equal(t, complete("v1", "v2"), h.Desired(at(Lifetime-1), "engine", true), "not seen here")
	require.Equal(t, complete("v1", "v2"), h.Desired(at(Lifetime), "engine", false), "the list may lag")
	require.Equal(t, complete("v2"), h.Desired(at(Lifetime), "engine", true))
	h.SetStored(at(Lifetime), "engine", complete("v2", "v3"))
	require.Equal(t, complete("v2", "v3"), h.Desired(at(2*Lifetime-1), "engine", true), "added by another instance")
	h.SetPresent(at(2*Lifetime), present())
	require.Equal(t, complete("v2", "v3"), h.Desired(at(4*Lifetime), "engine", true), "no targets")
	h.SetPresent(at(4*Lifetime), nil)
	require.Nil(t, h.Desired(at(4*Lifetime), "engine", true), "no longer configured")
}

// Guards against a record that stays in the store, and gets out of date, while a service has targets but no streams that
// may be taken up.
func TestRecordOfAServiceThatIsNoLongerResumable(t *testing.T) {
	h := NewHistory(start, true)
	h.SetPresent(start, present("v1"))
	h.SetStored(start, "engine", complete("v1"))
	h.SetPresent(at(1), notResumable("v1"))
	require.Equal(t, complete("v1"), h.Desired(at(Lifetime), "engine", true))
	require.Nil(t, h.Desired(at(1+Lifetime), "engine", true))
	require.Equal(t, complete("v1"), h.Desired(at(1+Lifetime), "engine", false), "the list may lag")
}

// Guards against an instance that has just started, and deletes the record of a service that is resumable by a configuration
// it doesn't have yet.
func TestRecordIsKeptAfterTheStart(t *testing.T) {
	h := NewHistory(start, false)
	h.SetStored(start, "engine", complete("v1"))
	h.SetPresent(start, notResumable("v1"))
	require.Equal(t, complete("v1"), h.Desired(at(Lifetime-1), "engine", true))
	require.Nil(t, h.Desired(at(Lifetime), "engine", true))
}

// Guards against a record that stays incomplete.
func TestRecordBecomesComplete(t *testing.T) {
	h := NewHistory(start, false)
	h.SetPresent(start, present("v1"))
	h.SetStored(start, "engine", incomplete("v1"))
	require.Equal(t, incomplete("v1"), h.Desired(at(Lifetime-1), "engine", true))
	require.Equal(t, complete("v1"), h.Desired(at(Lifetime), "engine", true))
}

// Guards against new streams at a version that the store doesn't list yet, and against targets that get no work
// for that.
func TestUnlistedVersionsAreHeld(t *testing.T) {
	h := NewHistory(start, true)
	h.SetPresent(at(0), present("v1", "v2"))
	require.Empty(t, h.Held(at(0), "engine"), "no record")
	h.SetStored(at(0), "engine", complete("v1"))
	require.Equal(t, []string{"v2"}, h.Held(at(0), "engine"))
	require.Empty(t, h.Held(at(MaxHold), "engine"), "the store accepts nothing")
	h.SetPresent(at(MaxHold), present("v1", "v3"))
	require.Equal(t, []string{"v3"}, h.Held(at(MaxHold), "engine"))
	h.SetPresent(at(MaxHold), present("v3"))
	require.Empty(t, h.Held(at(MaxHold), "engine"), "no target of another version")
	h.SetPresent(at(MaxHold), present("v1", "v3"))
	h.SetStored(at(MaxHold), "engine", complete("v1", "v3"))
	require.Empty(t, h.Held(at(MaxHold), "engine"))
}

// Guards against a version that is the only one by a history in which another one was present within the
// lifetime of a stream.
func TestSoleVersionIsTheOnlyOneOfTheLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory(start, false)
		versions := []string{"v1", "v2", "v3"}
		lastPresent := map[string]time.Duration{}
		now := time.Duration(0)
		current := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for v := range current {
				lastPresent[v] = now
			}
			clear(current)
			for _, v := range rapid.SliceOfN(rapid.SampledFrom(versions), 0, 3).Draw(t, "present") {
				current[v], lastPresent[v] = true, now
			}
			list := []string{}
			for v := range current {
				list = append(list, v)
			}
			h.SetPresent(at(now), present(list...))
			now += time.Duration(rapid.Int64Range(0, int64(Lifetime)).Draw(t, "pause"))
			for v := range current {
				lastPresent[v] = now
			}
			if sole := h.Sole(at(now), "engine"); sole != "" {
				for v, last := range lastPresent {
					if v != sole && now-last < Lifetime {
						t.Fatalf("%s counts as the only one though %s was present %v ago", sole, v, now-last)
					}
				}
			}
		}
	})
}

// Guards against a version that is guessed.
func TestLocate(t *testing.T) {
	record := func(o Origin) Answer {
		return Answer{Found: true, Record: Record{ID: HashOf("a"), Origin: o}, Several: true}
	}
	ambiguous := Answer{Found: true, Record: Record{ID: HashOf("a"), Ambiguous: true}}
	several, sole, nothing := Answer{Several: true}, Answer{Sole: "v1"}, Answer{}
	cases := map[string]struct {
		own     Answer
		unread  bool
		answers []Answer
		origin  Origin
		why     Reason
	}{
		"record here":                           {record(v2), false, nil, v2, ReasonRecord},
		"record there":                          {several, false, []Answer{nothing, record(v2)}, v2, ReasonRecord},
		"record of another service":             {sole, false, []Answer{record(Origin{"other", "v9"})}, Origin{"other", "v9"}, ReasonRecord},
		"record against the only version":       {sole, false, []Answer{record(v2)}, v2, ReasonRecord},
		"records that differ":                   {nothing, false, []Answer{record(v1), record(v2)}, Origin{}, ReasonAmbiguous},
		"ambiguous record":                      {sole, false, []Answer{ambiguous}, Origin{}, ReasonAmbiguous},
		"one version":                           {sole, false, nil, v1, ReasonSole},
		"one version, as another one says":      {nothing, false, []Answer{sole}, v1, ReasonSole},
		"one version, not read, nobody answers": {sole, true, nil, Origin{}, ReasonUnsure},
		"one version, not read, one knows":      {sole, true, []Answer{nothing, sole}, Origin{}, ReasonUnsure},
		"one version, not read, a quorum knows": {sole, true, []Answer{sole, nothing, sole}, v1, ReasonSole},
		"a quorum but this one knows":           {nothing, true, []Answer{sole, sole, sole}, v1, ReasonSole},
		"a quorum, several elsewhere":           {sole, true, []Answer{sole, sole, several}, Origin{}, ReasonNoRecord},
		"one version, not read, nobody knows":   {sole, true, []Answer{nothing}, Origin{}, ReasonUnsure},
		"record, not read":                      {sole, true, []Answer{record(v2)}, v2, ReasonRecord},
		"one version here, several elsewhere":   {sole, false, []Answer{several}, Origin{}, ReasonNoRecord},
		"different only versions":               {sole, false, []Answer{{Sole: "v2"}}, Origin{}, ReasonNoRecord},
		"several versions":                      {several, false, []Answer{nothing}, Origin{}, ReasonNoRecord},
		"nobody knows":                          {nothing, false, []Answer{nothing}, Origin{}, ReasonUnsure},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			origin, why, ok := Locate("engine", Evidence{Own: c.own, Answers: c.answers, Confirmed: !c.unread, Quorum: 3})
			require.Equal(t, c.why, why)
			require.Equal(t, c.origin != (Origin{}), ok, fmt.Sprint(origin))
			if ok {
				require.Equal(t, c.origin, origin)
			}
		})
	}
}
