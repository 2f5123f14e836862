// Package load sends a seeded load to running entry hosts and checks every response.
package load
