// Package fleet holds which targets there are.
package fleet
