// Package wire holds the types of the program's own messages and log records, generated from schema.json. The platform's
// messages are in platform/wire.
package wire
