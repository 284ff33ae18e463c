// Package forecast plays a service in virtual time, with the real decisions of
// entries and agents and a small model of a model engine, to say what a
// configuration bears. The same seed gives the same figures.
package forecast
