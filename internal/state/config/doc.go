// Package config builds an immutable configuration from the files of the
// operators' folder, identified by a revision.
package config
