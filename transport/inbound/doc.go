// Package inbound serves callers' HTTP connections and closes them without dropping
// requests that have arrived.
//
// net/http regards a connection as idle until it has read the whole head of the next
// request. When it closes idle connections, it therefore also closes those whose request
// lies unread in the socket, is being read, or has just been passed to the handler. The
// caller sees a closed connection and can't know whether its request ran. In this package
// a connection that waits for a request is closed only by the goroutine that reads it,
// after it has found nothing in the socket. This applies to draining and to the idle
// timeout.
//
// The package infers when net/http waits for a request from its use of the connection:
// the states that it reports, the byte that it reads ahead while a request is served, and
// the deadlines that it sets. The package's tests verify each of these.
//
// One race remains: a request that is in transit while the connection is closed. HTTP/1.1
// has no message to prevent it; none of the request is read, and it doesn't run.
package inbound
