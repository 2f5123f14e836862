// Package disk keeps the state of one voter in a folder: checksummed frames that are synced before
// anything depends on them, and snapshots that replace them.
package disk
