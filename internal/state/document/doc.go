// Package document reads YAML files into one merged tree whose every node
// knows the file, line and column it came from.
package document
