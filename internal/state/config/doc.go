// Package config holds an accepted configuration: the merged files of the
// operators' folder under one revision.
package config
