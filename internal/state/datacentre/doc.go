// Package datacentre reads data centres from the configuration.
package datacentre
