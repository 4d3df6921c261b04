// Package wire holds the types of all messages and settings. It is generated
// from the JSON Schemas in schema/; the output is committed so that the build
// needs no generator.
package wire
