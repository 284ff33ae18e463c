// Package platform speaks to the platform's object API and instance list.
// Everything that the project guesses about their wire format stands here.
package platform
