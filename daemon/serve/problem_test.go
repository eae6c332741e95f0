package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A store that is back in half a millisecond made a refusal say "come back in 0
// ms", which callers read as "don't come back": the order was given up.
func TestRefusalsAlwaysNameATimeToComeBack(t *testing.T) {
	cases := map[time.Duration]int64{
		0:                       defaultRetryAfter.Milliseconds(),
		-time.Second:            defaultRetryAfter.Milliseconds(),
		time.Microsecond:        1,
		1500 * time.Microsecond: 2,
		time.Second:             1000,
	}
	for after, want := range cases {
		p := retryLater(refusal(http.StatusServiceUnavailable, typeStore, ""), after)
		require.Equal(t, want, p.RetryAfterMS, after)
	}
}
