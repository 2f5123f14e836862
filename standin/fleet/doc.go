// Package fleet emulates what surrounds a fleet of savorywing daemons: model engines that join groups, plain
// services and their reports, with faults on request. It checks the promises that only the other side can see: a
// group runs requests only while whole, no member joins elsewhere while its head serves, nothing runs twice.
package fleet
