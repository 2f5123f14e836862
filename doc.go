// Package savorywing holds the domain types of the serving system and every interface that varies.
package savorywing
