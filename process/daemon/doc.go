// Package daemon assembles the duties of one process: each runs on a thread of its own.
package daemon
