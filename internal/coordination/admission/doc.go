// Package admission decides which requests one target takes now, which wait
// for it and which are refused before they run.
package admission
