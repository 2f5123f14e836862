// Package wire holds the types of every message that leaves a process, generated from schema.json.
package wire
