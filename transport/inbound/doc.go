// Package inbound serves callers' HTTP connections and knows of each whether a
// request is on its way on it: from its first byte, not from the end of its head.
package inbound
