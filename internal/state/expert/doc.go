// Package expert describes which ranks of a group hold which experts of a
// mixture-of-experts model.
package expert
