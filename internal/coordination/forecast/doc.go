// Package forecast simulates a service in virtual time to predict the load that
// a configuration sustains. It uses the routing and admission code of entries
// and agents and a simple model of a model engine. A simulation with the same
// seed always gives the same result.
package forecast
