// Package pace holds the notice by which the leader of a rank group tells the entries which
// of its engines are slow.
package pace
