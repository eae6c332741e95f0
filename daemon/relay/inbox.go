package relay

import (
	"io"
	"net/http"
	"sync"

	"github.com/ivyhollow/ivyhollow/protocol/exchange"
	"github.com/ivyhollow/ivyhollow/transport/forward"
)

// replyHead is the head of a target's reply.
type replyHead struct {
	status int
	header http.Header
	// length is the length of the body in bytes, -1 if it is unknown.
	length  int64
	framing forward.Framing
	parsed  exchange.TargetResponse
}

// message is a part of what a target sent, or the end of its attempt.
type message struct {
	from *attempt
	// head is set in the first message, and nil if the attempt ended without one.
	head *replyHead
	data []byte
	// rest is the reply if it is longer than data. The receiver closes it.
	rest *forward.Reply
	// err is the error that ended the attempt, io.EOF at the end of a complete reply, or nil.
	err error
}

// isEnd reports whether a reply has ended completely.
func (m *message) isEnd() bool { return m.err == io.EOF }

// isResponse reports whether the message has a part of a target's response, or its end.
func (m *message) isResponse() bool {
	return m.head != nil && m.head.isUsable() && (len(m.data) > 0 || m.isEnd())
}

// inbox passes the messages of a request's attempts to the request.
type inbox struct {
	messages chan message

	mu sync.Mutex
	// waiting is the number of messages that nobody has received yet.
	waiting int
	// onData is called when a part of a response arrives; nil if nobody waits for it elsewhere.
	onData func()
}

func newInbox() *inbox { return &inbox{messages: make(chan message)} }

// put passes a message to the receiver. It returns false if the attempt was abandoned.
func (b *inbox) put(m message) bool {
	b.mu.Lock()
	b.waiting++
	if b.onData != nil && m.isResponse() {
		b.onData()
	}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.waiting--
	}()
	select {
	case b.messages <- m:
		return true
	case <-m.from.abandoned:
		return false
	}
}

// watch has f called when a part of a response arrives. It reports whether no message waits already. A nil f ends
// the watch.
func (b *inbox) watch(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onData = f
	return b.waiting == 0
}
