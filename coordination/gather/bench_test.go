package gather

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSubmit measures the submission of one request while others wait. The request is
// dropped again, so that the number of waiting requests is constant. With sharing, they are of as many
// accounts as are remembered.
func BenchmarkSubmit(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) { benchmarkSubmit(b, waiting, false) })
		b.Run(fmt.Sprint(waiting, "-sharing"), func(b *testing.B) { benchmarkSubmit(b, waiting, true) })
	}
}

func benchmarkSubmit(b *testing.B, waiting int, sharing bool) {
	p := New(Config{MaxRequests: 2 * waiting, AccountSharing: sharing})
	now := time.Unix(1000, 0)
	for _, name := range []string{"a", "b", "c"} {
		p.SetService(name, smallBatch)
		var list []Target
		for i := range 16 {
			id := fmt.Sprint(name, i)
			list = append(list, Target{Incarnation: id, Address: id, DataCentre: "x"})
		}
		p.SetTargets(now, name, list)
	}
	request := func(id string) Request {
		q := chain(id, 1, 1, 2)
		q.Objective, q.Deadline = now.Add(time.Hour), now.Add(time.Hour)
		return q
	}
	for i := range waiting {
		q := request(fmt.Sprint("w", i))
		q.Account = fmt.Sprint("account", i%maxSharingAccounts)
		// The objectives of the requests are spread over two seconds.
		q.Objective = q.Objective.Add(time.Duration(i) * 2 * time.Second / time.Duration(waiting))
		p.Submit(now, q)
	}
	for b.Loop() {
		p.Submit(now, request("one"))
		p.Drop(now, "one")
	}
}
