// Package account describes client accounts: their keys, shares and rights.
package account
