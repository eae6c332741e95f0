package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pipeline needs a model that no engine has loaded yet. If that is only found at the
// last stage, all earlier stages have run for nothing and the request can't be reported
// as not run.
func TestServesOnlyWhatATargetHasLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Config{Instance: "one"})
	table.SetTargets(now, Pool{Name: "engines"}, []Target{
		{Incarnation: "a", Pool: "engines", Models: []string{"small"}},
		{Incarnation: "b", Pool: "engines", Models: []string{"large"}, Adapters: []string{"menus"}},
	})
	require.True(t, table.Serves(&Query{Pool: "engines"}))
	require.True(t, table.Serves(&Query{Pool: "engines", Model: "large", Adapter: "menus"}))
	require.False(t, table.Serves(&Query{Pool: "engines", Model: "huge"}))
	require.False(t, table.Serves(&Query{Pool: "none"}))
	table.Leaving(now, "b")
	require.False(t, table.Serves(&Query{Pool: "engines", Model: "large"}), "the last target with the model is leaving")
}
