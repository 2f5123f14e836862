// Package soak runs the real daemons as separate processes against an emulated fleet, injects faults from outside, and
// checks the system's guarantees from what callers, operators and backend servers observe.
package soak
