// Package group turns plans into commands of the replicated log and orders to backend servers. It does no I/O and is
// level-triggered: every step compares the desired state with the state that hosts report.
package group
