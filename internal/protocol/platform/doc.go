// Package platform is a client of the platform's object API and instance list. It
// contains all assumptions about their wire formats, which are not confirmed.
package platform
