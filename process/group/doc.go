// Package group turns plans into commands of the replicated log and orders to backend servers. It is
// pure, and level-triggered: every step compares what is wanted with what hosts say of themselves.
package group
