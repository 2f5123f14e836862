// Package operator is the server and the client of the authenticated HTTP interface for operators.
package operator
