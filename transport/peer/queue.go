package peer

// queue is the write queue of one connection, bounded in frames and bytes.
type queue struct {
	maxFrames int
	maxBytes  int
	frames    []queuedFrame
	bytes     int
}

type queuedFrame struct {
	data      []byte
	droppable bool
}

// push adds a frame that must not be dropped. It returns false if the queue is
// full.
func (q *queue) push(data []byte) bool {
	if !q.fits(data) {
		return false
	}
	q.add(queuedFrame{data: data})
	return true
}

// pushDroppable adds a droppable frame, which newer frames make obsolete. The oldest
// droppable frames are dropped until the new one fits; if none of them is left, the
// new one is dropped. It returns the number of dropped frames.
func (q *queue) pushDroppable(data []byte) int {
	dropped := 0
	for !q.fits(data) {
		if !q.dropOldest() {
			return dropped + 1
		}
		dropped++
	}
	q.add(queuedFrame{data: data, droppable: true})
	return dropped
}

// pop removes and returns the oldest frame.
func (q *queue) pop() ([]byte, bool) {
	if len(q.frames) == 0 {
		return nil, false
	}
	f := q.frames[0]
	q.remove(0)
	return f.data, true
}

// fits reports whether the queue has space for a frame.
func (q *queue) fits(data []byte) bool {
	return len(q.frames) < q.maxFrames && q.bytes+len(data) <= q.maxBytes
}

func (q *queue) add(f queuedFrame) {
	q.frames = append(q.frames, f)
	q.bytes += len(f.data)
}

func (q *queue) dropOldest() bool {
	for i, f := range q.frames {
		if f.droppable {
			q.remove(i)
			return true
		}
	}
	return false
}

func (q *queue) remove(i int) {
	q.bytes -= len(q.frames[i].data)
	q.frames = append(q.frames[:i], q.frames[i+1:]...)
	if len(q.frames) == 0 {
		q.frames = nil
	}
}
