package dcdrain

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Records reach an instance in any order, several times and from several sources. An older one
// must not end a drain or bring it back.
func TestOrderOfRecords(t *testing.T) {
	type step struct {
		ended    bool
		revision uint64
	}
	cases := map[string]struct {
		steps   []step
		drained bool
	}{
		"none":                                  {nil, false},
		"a record":                              {[]step{{false, 5}}, true},
		"its removal":                           {[]step{{false, 5}, {true, 8}}, false},
		"a removal under the record's revision": {[]step{{false, 5}, {true, 5}}, false},
		"a copy after such a removal":           {[]step{{false, 5}, {true, 5}, {false, 5}}, false},
		"the removal first":                     {[]step{{true, 8}, {false, 5}}, false},
		"a late copy":                           {[]step{{false, 5}, {true, 8}, {false, 5}}, false},
		"a late removal of an earlier record":   {[]step{{false, 5}, {true, 8}, {false, 9}, {true, 8}}, true},
		"back within a second":                  {[]step{{false, 5}, {true, 6}, {false, 7}, {true, 8}, {false, 9}}, true},
		"changed while it is in force":          {[]step{{false, 5}, {false, 7}, {true, 6}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New()
			for _, step := range c.steps {
				if step.ended {
					s.End("dc", step.revision)
				} else {
					s.Start(start, "dc", step.revision)
				}
			}
			require.Equal(t, c.drained, s.Contains("dc"))
			require.False(t, s.Contains("other"))
		})
	}
}

// The history of the store was lost and removals were missed: what a complete list lacks has
// ended, unless some of its elements couldn't be read.
func TestList(t *testing.T) {
	s := New()
	s.Start(start, "a", 1)
	s.Start(start, "b", 2)
	s.Start(start, "later", 20)
	started, ended := s.ApplyList(start, []Entry{{"b", 2}, {"c", 9}}, 10, 1)
	require.Equal(t, []string{"c"}, started)
	require.Empty(t, ended, "an unreadable element may be the record of a")
	started, ended = s.ApplyList(start, []Entry{{"b", 2}, {"c", 9}}, 10, 0)
	require.Empty(t, started)
	require.Equal(t, []string{"a"}, ended)
	require.True(t, s.Contains("later"), "the list is older than the record")
}

// An operator sees since when a drain is in force, also after its record was written again.
func TestDrainsTellSinceWhen(t *testing.T) {
	s := New()
	require.True(t, s.Start(start, "b", 3))
	require.False(t, s.Start(start.Add(time.Minute), "b", 4))
	require.True(t, s.Start(start.Add(time.Hour), "a", 5))
	require.Equal(t, []Drain{{"a", 5, start.Add(time.Hour)}, {"b", 4, start}}, s.Drains())
	require.True(t, s.End("b", 6))
	require.Len(t, s.Drains(), 1)
}

// The state must not grow with the names that records had over time, and must not lose a drain.
func TestRecordsAreBounded(t *testing.T) {
	s := New()
	s.Start(start, "kept", 1)
	for i := range 3 * maxRecords {
		name := fmt.Sprint("dc", i)
		s.Start(start, name, uint64(2*i+2))
		s.End(name, uint64(2*i+3))
	}
	require.LessOrEqual(t, len(s.records), maxRecords)
	require.True(t, s.Contains("kept"))
}

// Whatever order the records arrive in, the newest one of a data centre decides in the end.
func TestNewestRecordDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 20).Draw(t, "data centre of each change")
		drained := map[int]bool{}
		type change struct {
			dataCentre int
			ended      bool
			revision   uint64
		}
		var changes []change
		for i, dataCentre := range history {
			changes = append(changes, change{dataCentre, drained[dataCentre], uint64(i + 1)})
			drained[dataCentre] = !drained[dataCentre]
		}
		s := New()
		for _, i := range rapid.Permutation(indices(len(changes))).Draw(t, "order") {
			c := changes[i]
			for range rapid.IntRange(1, 2).Draw(t, "copies") {
				if c.ended {
					s.End(fmt.Sprint(c.dataCentre), c.revision)
				} else {
					s.Start(start, fmt.Sprint(c.dataCentre), c.revision)
				}
			}
		}
		for dataCentre, want := range drained {
			require.Equal(t, want, s.Contains(fmt.Sprint(dataCentre)))
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
