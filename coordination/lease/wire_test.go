package lease

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// If a field were renamed in the stored form, an instance would read a lease that
// another instance holds as released, and two instances would send orders to the
// same targets.
func TestBytesOfStoredLeases(t *testing.T) {
	rows := []struct {
		name   string
		record Record
		want   string
	}{
		{"full", Record{Holder: "one", Fencing: 1, TermMS: 2, Attempt: 3, LongestOrderMS: 4}, `{"holder":"one","fencing":1,"term_ms":2,"attempt":3,"longest_order_ms":4}`},
		{"empty", Record{}, `{"holder":"","fencing":0,"term_ms":0,"attempt":0,"longest_order_ms":0}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got, err := json.Marshal(row.record)
			require.NoError(t, err)
			require.Equal(t, row.want, string(got))
		})
	}
}
