// Package savorywing defines the domain types of the serving system, and the
// interfaces that have more than one implementation.
package savorywing
