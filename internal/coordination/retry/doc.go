// Package retry bounds how often requests are sent again.
package retry
