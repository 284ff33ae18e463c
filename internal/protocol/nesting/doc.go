// Package nesting cuts values out of JSON texts that are nested too deeply to be decoded,
// so that one of them does not make the rest of a list unreadable.
package nesting
