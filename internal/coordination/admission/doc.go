// Package admission decides which requests run on a target now, which wait in
// its queue and which are refused before they run. A target is a back end such
// as a model engine. Concurrent work is counted in units, since one request can
// cost several.
package admission
