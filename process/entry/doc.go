// Package entry serves a caller's request, from admission over its attempts to its response.
package entry
