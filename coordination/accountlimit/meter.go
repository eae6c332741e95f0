package accountlimit

import (
	"math"
	"time"
)

// meter is a decaying sum. The zero value is an empty one.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.sum(now) + n
	if now.After(m.at) {
		m.at = now
	}
}

func (m *meter) sum(now time.Time) float64 {
	return m.value * math.Exp2(-max(now.Sub(m.at), 0).Seconds()/halfLife.Seconds())
}

// rate is the constant rate whose decaying sum is that of the meter.
func (m *meter) rate(now time.Time) float64 { return m.sum(now) * math.Ln2 / halfLife.Seconds() }
