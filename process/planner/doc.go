// Package planner decides which hosts form groups, where spare hosts are kept and how groups are replaced after a host
// is lost. It does no I/O.
package planner
