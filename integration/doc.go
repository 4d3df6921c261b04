// Package integration holds tests that run processes of the daemon on loopback. They need
// the build tag integration, and run one at a time, apart from other tests.
package integration
