// Package datacentre describes data centres and whether they are in service.
package datacentre
