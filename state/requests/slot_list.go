package requests

// slotList is a queue of a shard's slots, linked through their records so that
// any slot can be removed in constant time and without allocation.
type slotList struct{ head, tail int32 }

func newSlotList() slotList { return slotList{head: noSlot, tail: noSlot} }

func (l *slotList) pushBack(slots []record, i int32) {
	slots[i].prev, slots[i].next = l.tail, noSlot
	if l.tail == noSlot {
		l.head = i
	} else {
		slots[l.tail].next = i
	}
	l.tail = i
}

func (l *slotList) remove(slots []record, i int32) {
	prev, next := slots[i].prev, slots[i].next
	if prev == noSlot {
		l.head = next
	} else {
		slots[prev].next = next
	}
	if next == noSlot {
		l.tail = prev
	} else {
		slots[next].prev = prev
	}
	slots[i].prev, slots[i].next = noSlot, noSlot
}
