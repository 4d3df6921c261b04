// Package version holds the version of the release.
package version

// Version is the release's version, set by hand with each entry of CHANGELOG.md.
const Version = "0.1.0"
