// Package inbound serves callers' HTTP connections and closes them so that no
// request that was sent is lost.
//
// net/http takes a connection for idle until the whole head of its next request has
// been read. Its own ways to close idle connections therefore also close those whose
// request lies unread in the socket, or is being read, or has just been handed to its
// handler: the caller sees a closed connection and can't know whether its request ran.
// Here a connection's own reader decides: a connection is closed only by the goroutine
// that reads it, after it has found nothing in the socket.
//
// What remains is a request that crosses the close on its way. HTTP/1.1 has no word for
// it; nothing of it is read, and it doesn't run.
package inbound
