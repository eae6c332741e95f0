package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A guest's plan needs a model that no engine has loaded yet. Found out only at
// the last stage, the request has cost all stages before and may not be called
// not run.
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
	require.False(t, table.Serves(&Query{Pool: "engines", Model: "large"}), "the last one leaves")
}
