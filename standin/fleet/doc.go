// Package fleet emulates the servers around a fleet of savorywing daemons: model engines that join groups, plain
// services, and their reports, with fault injection. It checks the invariants that only the backend servers can
// observe: a group runs requests only while it is complete, no member joins another group while its head serves, and
// no request runs twice.
package fleet
