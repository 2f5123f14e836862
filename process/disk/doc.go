// Package disk persists the state of one voter in a folder. The log consists of checksummed frames, each synced
// before Append returns; a snapshot replaces the frames that it covers.
package disk
