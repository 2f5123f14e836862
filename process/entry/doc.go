// Package entry carries a caller's request from admission over its attempts to its answer.
package entry
