// Package document parses YAML files and merges them into one tree. Each node
// keeps the file, line and column of its source for error messages.
package document
