// Package operator carries out the operators' commands against the platform
// and the processes.
package operator
