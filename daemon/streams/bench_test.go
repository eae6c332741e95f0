package streams

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/resumption"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// BenchmarkKeepers chooses the instances that keep a record, in fleets of several sizes.
func BenchmarkKeepers(b *testing.B) {
	for _, size := range []int{8, 73, 295, 440} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var members []membership.Member
			for n := range size {
				members = append(members, membership.Member{Name: fmt.Sprint("instance-", n), DataCentre: fmt.Sprint("dc-", n%5)})
			}
			n := &node{fleet: &fleet{}, view: membership.NewView(1, "instance-0", members)}
			k, view := &keepers{}, n.View()
			for i := range b.N {
				k.ofKey(view, resumption.HashOf(fmt.Sprintf("%016x", i)), copies)
			}
		})
	}
}

// BenchmarkKeep decodes and keeps a record of another instance.
func BenchmarkKeep(b *testing.B) {
	d := &Directory{history: resumption.NewHistory(time.Now(), false), table: resumption.NewTable(maxRecords)}
	for i := range b.N {
		record := resumption.Record{ID: resumption.Hash(i), Origin: resumption.Origin{Service: "baxa93e", Version: "v1.1"}}
		body, err := msgpack.Marshal(newKeepRequest([]resumption.Record{record}, false))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body)), "bytes")
		if _, err := d.handleKeep(b.Context(), peer.Peer{}, body); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeepBatch decodes and keeps the records of another instance's streams of half a second, at the peak of 440 instances.
func BenchmarkKeepBatch(b *testing.B) {
	const streams = 95 / 2
	d := &Directory{history: resumption.NewHistory(time.Now(), false), table: resumption.NewTable(maxRecords)}
	for i := range b.N {
		var records []resumption.Record
		for n := range streams {
			records = append(records, resumption.Record{ID: resumption.Hash(i*streams + n), Origin: resumption.Origin{Service: "baxa93e", Version: "v1.1"}})
		}
		body, err := msgpack.Marshal(newKeepRequest(records, true))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body)), "bytes")
		if _, err := d.handleKeep(b.Context(), peer.Peer{}, body); err != nil {
			b.Fatal(err)
		}
	}
}
