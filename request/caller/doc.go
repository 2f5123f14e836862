// Package caller serves callers over the OpenAI-compatible HTTP interface, and over plain HTTP for plain services.
package caller
