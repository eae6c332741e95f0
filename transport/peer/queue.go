package peer

// queue holds the frames that wait to be written on one connection, bounded in
// number and bytes.
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

// push adds a frame that must not be dropped, false if there is no room.
func (q *queue) push(data []byte) bool {
	if !q.fits(data) {
		return false
	}
	q.add(queuedFrame{data: data})
	return true
}

// pushGossip adds a frame that newer ones make obsolete. The oldest such
// frames give way; if there are none, the new one is dropped. It returns how
// many were dropped.
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

// pop takes the oldest frame.
func (q *queue) pop() ([]byte, bool) {
	if len(q.frames) == 0 {
		return nil, false
	}
	f := q.frames[0]
	q.remove(0)
	return f.data, true
}

// fits tells whether a frame has room.
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
