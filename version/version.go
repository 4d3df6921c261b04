// Package version names the release.
package version

// Version is the release, set by hand with each entry of CHANGELOG.md.
const Version = "0.1.0"
