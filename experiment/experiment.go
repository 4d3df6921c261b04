// Package experiment runs the real decision code of seven boxes, each with only the state
// that it would know, against ten stand-in engines in virtual time. The same seed gives the
// same results.
package experiment
