// Package attempt transfers one request from an entry to an agent and its answer
// back. It defines the headers that describe the request, buffers the answer so
// that an entry can resume it after a lost connection, and verifies with a length
// and a digest that the answer arrived complete.
//
// An answer is the response of a target. A reply is the HTTP response to one
// request sent with Client: it carries an answer or a part of one, a refusal, or
// the holder of an idempotency key.
package attempt
