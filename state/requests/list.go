package requests

// list is a queue of a shard's slots, linked through the records, so that any
// slot leaves it in constant time and without allocation.
type list struct{ head, tail int32 }

func newList() list { return list{head: none, tail: none} }

func (l *list) push(slots []record, i int32) {
	slots[i].prev, slots[i].next = l.tail, none
	if l.tail == none {
		l.head = i
	} else {
		slots[l.tail].next = i
	}
	l.tail = i
}

func (l *list) remove(slots []record, i int32) {
	prev, next := slots[i].prev, slots[i].next
	if prev == none {
		l.head = next
	} else {
		slots[prev].next = next
	}
	if next == none {
		l.tail = prev
	} else {
		slots[next].prev = prev
	}
	slots[i].prev, slots[i].next = none, none
}
