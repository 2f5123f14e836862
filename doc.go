// Package savorywing defines the domain types of the serving system and the interfaces whose
// implementation can be replaced.
package savorywing
