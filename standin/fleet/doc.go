// Package fleet emulates the servers around a fleet of savorywing daemons: model engines that join groups, plain
// services, and their reports, with fault injection. It checks the invariants that only the backend servers can
// observe: a group runs requests only if it has as many members as its model needs and all of them have been ready, and
// no member joins another group while its head serves. It also counts the runs of each attempt, so that a test can find
// repeated ones.
package fleet
