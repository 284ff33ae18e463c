// Package attempt carries one request between an entry and an agent: its
// envelope, its kept answer, and the proof that the answer arrived whole.
package attempt
