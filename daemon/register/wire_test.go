package register

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// A renamed field changes the entries of instances: other instances find none to
// join, or join one at no address.
func TestBytesOfStoredInstances(t *testing.T) {
	rows := []struct {
		name string
		self membership.Member
		want string
	}{
		{"full", membership.Member{
			Name: "one", Address: "a", CallerURL: "c", DataCentre: "d", Incarnation: 1, Capacity: 2,
		}, `one {"address":"a","caller_url":"c","data_centre":"d","incarnation":1,"capacity":2}`},
		{"empty", membership.Member{Name: "one"}, `one {"address":"","caller_url":"","data_centre":"","incarnation":0}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			object, err := New(nil, func() membership.Member { return row.self }).entry()
			require.NoError(t, err)
			require.Equal(t, row.want, object.Metadata.Name+" "+string(object.Spec))
			member, ok := memberOf(&object)
			require.True(t, ok)
			require.Equal(t, row.self, member)
		})
	}
}
