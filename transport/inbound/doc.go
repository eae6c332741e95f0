// Package inbound serves callers' HTTP connections and closes them so that no
// request that was sent is lost.
//
// net/http takes a connection for idle until the whole head of its next request has
// been read. Its own ways to close idle connections therefore also close those whose
// request lies unread in the socket, or is being read, or has just been handed to its
// handler: the caller sees a closed connection and can't know whether its request ran.
// Here a connection's own reader decides: a connection that waits for a request is closed
// only by the goroutine that reads it, after it has found nothing in the socket. That
// holds for a stop and for the end of the idle time alike.
//
// The package knows when net/http waits for a request from how it uses the connection:
// the states that it reports, the byte that it reads ahead while a request is served, and
// the deadlines that it sets. The package's tests hold each of these.
//
// What remains is a request that crosses the close on its way. HTTP/1.1 has no word for
// it; nothing of it is read, and it doesn't run.
package inbound
