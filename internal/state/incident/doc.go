// Package incident puts together from the logs of several processes what
// befell one request.
package incident
