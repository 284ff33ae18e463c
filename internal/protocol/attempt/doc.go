// Package attempt transfers one request from an entry to an agent and its answer
// back. It defines the headers that describe the request, buffers the answer so
// that an entry can resume it after a lost connection, and verifies with a length
// and a digest that the answer arrived complete.
package attempt
