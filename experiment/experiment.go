// Package experiment runs the real decision code of seven boxes, each with
// only what it would know, against ten stand-in engines in virtual time. The
// same seed gives the same figures.
package experiment
