// Package daemon assembles the components of one process, each of which runs in its own goroutine.
package daemon
