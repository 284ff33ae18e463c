// Package account reads client accounts from the configuration: their API keys,
// shares, priorities, rate limits and the services that they may use.
package account
