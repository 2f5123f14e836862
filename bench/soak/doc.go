// Package soak runs the real daemons as separate processes against an emulated fleet, injects faults from outside
// them, and checks the promises from what callers, operators and backend servers see.
package soak
