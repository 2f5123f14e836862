// Package operator speaks the authenticated HTTP interface for operators.
package operator
