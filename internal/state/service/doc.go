// Package service describes the services that client accounts may call.
package service
