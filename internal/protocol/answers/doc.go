// Package answers reads HTTP/1.1 answers from connections: it decides which heads are heads of
// answers, and when an answer that has no length is complete.
package answers
