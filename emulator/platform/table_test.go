package platform

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testKind = platformapi.KindPools

func specs(objects map[string]*platformapi.Object) map[string]string {
	out := map[string]string{}
	for name, object := range objects {
		out[name] = string(object.Spec)
	}
	return out
}

// Checks after random writes that each revision in the history reads as it was, that
// the events of a watch from each revision lead to the current state, and that a watch
// from a dropped revision is refused.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 8
		table := newTable(keep)
		snapshots := []map[string]string{{}}
		for i := range rapid.IntRange(0, 40).Draw(t, "writes") {
			o := platformapi.Object{Spec: fmt.Append(nil, i)}
			o.Metadata.Name = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "verb") {
			case 0:
				_, _ = table.create(testKind, o)
			case 1:
				_, _ = table.update(testKind, o, false)
			case 2:
				_ = table.delete(testKind, o.Metadata.Name, 0)
			case 3:
				_, _ = table.create("others", platformapi.Object{Metadata: platformapi.Metadata{Name: fmt.Sprint("o", i)}})
			}
			if int(table.revision) == len(snapshots) {
				snapshots = append(snapshots, specs(table.kinds[testKind]))
			}
		}
		require.Len(t, snapshots, int(table.revision)+1)
		for from, snapshot := range snapshots {
			objects, revision := table.objectsBefore(testKind, table.revision-uint64(from))
			require.Equal(t, max(uint64(from), table.compacted), revision)
			require.Equal(t, snapshots[revision], specs(objects))

			watch, refused := table.eventsSince([]string{testKind}, uint64(from))
			require.Equal(t, uint64(from) < table.compacted, refused != nil)
			if refused != nil {
				continue
			}
			require.Equal(t, table.revision, watch.Revision)
			replayed := maps.Clone(snapshot)
			for _, event := range watch.Events {
				replayed[event.Object.Metadata.Name] = string(event.Object.Spec)
				if event.Deleted {
					delete(replayed, event.Object.Metadata.Name)
				}
			}
			require.Equal(t, snapshots[table.revision], replayed)
		}
	})
}

// Checks that a list and a watch of large values are split into several responses,
// none over the size limit and none empty.
func TestLargePages(t *testing.T) {
	table := newTable(100)
	value := []byte(`"` + strings.Repeat("x", platformapi.MaxValueBytes-2) + `"`)
	for i := range 9 {
		o := platformapi.Object{Metadata: platformapi.Metadata{Name: fmt.Sprint("n", i)}, Spec: value}
		_, refused := table.create(testKind, o)
		require.Nil(t, refused)
	}
	var listed, watched []int
	for after := ""; len(listed) == 0 || after != ""; {
		page := pageOf(table.kinds[testKind], after, platformapi.MaxPageItems)
		listed, after = append(listed, len(page.Items)), page.Next
	}
	for from := uint64(0); from < table.revision; {
		watch, refused := table.eventsSince([]string{testKind}, from)
		require.Nil(t, refused)
		watched, from = append(watched, len(watch.Events)), watch.Revision
	}
	require.Equal(t, []int{4, 4, 1}, listed)
	require.Equal(t, []int{4, 4, 1}, watched)
}
