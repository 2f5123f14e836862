// Package reach decides whether a host has lost its paths to the backend servers while other hosts have kept theirs.
//
// A failed request doesn't tell whether its server or the path to it has failed. So a failure only starts a round: the host
// asks a few servers for their status and other entry hosts about those that didn't answer. Servers that answer nobody are down
// and say nothing about paths. Only answers count, since a proxy may open connections whether it reaches the server or not. The
// package is pure: outcomes and time in, decisions out.
package reach

import "time"

const (
	// SampleSize is the number of servers that a round asks.
	SampleSize = 5
	// WideSampleSize is the number of further servers that a round asks if it reached none of the first.
	WideSampleSize = 12
	// minLost is the number of servers that only others reach from which paths count as lost.
	minLost = 2
	// majority is the ratio between servers that are reached and that are lost, or the reverse, from which a round changes
	// the state. In between, hysteresis keeps the state.
	majority = 2
	// restoringRounds is the number of successive rounds after which lost paths count as restored.
	restoringRounds = 2
	// RoundInterval is the time between two rounds while the paths are lost, or most servers are not reached.
	RoundInterval = 300 * time.Millisecond
	// soundInterval is the minimum time between two rounds that find all paths sound, and doubtInterval that after any other.
	soundInterval = 1 * time.Second
	doubtInterval = 150 * time.Millisecond
	// responseMemory is how long after a response the host counts as connected to some servers.
	responseMemory = 1 * time.Second
)
