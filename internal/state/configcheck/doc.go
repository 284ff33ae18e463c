// Package configcheck finds entries of a valid configuration that cannot take effect,
// settings that contradict each other, and differences between two configurations that
// clients notice.
package configcheck
