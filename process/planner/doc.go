// Package planner decides which hosts form groups, where spares stand and what to do at a loss. It is pure.
package planner
