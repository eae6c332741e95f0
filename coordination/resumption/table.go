package resumption

import "time"

// Record is what is known of the beginning of a stream.
type Record struct {
	// ID is the hash of the id of the caller's attempt that brought the stream's first event.
	ID     Hash
	Origin Origin
	// Ambiguous is true if two streams with different origins have the id. Origin is then meaningless.
	Ambiguous bool
	// Backup is true if the record came as a copy that the owners of its key may lack.
	Backup bool
}

// Table holds the records of streams for Lifetime each. If there are more than its limit, the oldest
// ones are dropped.
type Table struct {
	limit   int
	records map[Hash]*tableRecord
	// order has each record once, by the end of its lifetime as it was when the record came here.
	order []position
}

type position struct {
	id      Hash
	expires time.Time
}

type tableRecord struct {
	Record
	expires time.Time
}

// NewTable returns an empty table for up to limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: map[Hash]*tableRecord{}}
}

// Put adds a record, or renews it. A record that contradicts an earlier one makes both ambiguous.
func (t *Table) Put(now time.Time, r Record) {
	t.expire(now)
	known := t.records[r.ID]
	if known != nil {
		known.Ambiguous = known.Ambiguous || r.Ambiguous || known.Origin != r.Origin
		known.expires = now.Add(Lifetime)
		return
	}
	if len(t.records) >= t.limit {
		t.dropOldest()
	}
	t.records[r.ID] = &tableRecord{r, now.Add(Lifetime)}
	t.order = append(t.order, position{r.ID, now.Add(Lifetime)})
}

// Get returns the record of a stream.
func (t *Table) Get(now time.Time, id Hash) (Record, bool) {
	r := t.records[id]
	if r == nil || !now.Before(r.expires) {
		return Record{}, false
	}
	return r.Record, true
}

// All returns all records.
func (t *Table) All(now time.Time) []Record {
	t.expire(now)
	all := make([]Record, 0, len(t.records))
	for _, p := range t.order {
		all = append(all, t.records[p.id].Record)
	}
	return all
}

// TakeBackups returns the backups of services whose records the owners of their keys should have. They are backups no
// more.
func (t *Table) TakeBackups(now time.Time, wanted func(service string) bool) []Record {
	t.expire(now)
	var taken []Record
	for _, p := range t.order {
		if r := t.records[p.id]; r.Backup && wanted(r.Origin.Service) {
			r.Backup = false
			taken = append(taken, r.Record)
		}
	}
	return taken
}

// MarkBackup makes a record a backup again.
func (t *Table) MarkBackup(id Hash) {
	if r := t.records[id]; r != nil {
		r.Backup = true
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// expire drops the records whose lifetime is over. Those that were renewed go to the end of the order.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.order[0].expires) {
		first := t.order[0]
		t.order = t.order[1:]
		r := t.records[first.id]
		if now.Before(r.expires) {
			t.order = append(t.order, position{first.id, r.expires})
			continue
		}
		delete(t.records, first.id)
	}
}

func (t *Table) dropOldest() {
	delete(t.records, t.order[0].id)
	t.order = t.order[1:]
}
