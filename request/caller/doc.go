// Package caller speaks the OpenAI-compatible HTTP interface, and plain HTTP for plain services, to callers.
package caller
