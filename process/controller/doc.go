// Package controller runs a control host of a fleet that lists no hosts: it takes reports of backend servers,
// keeps the operator's document in the replicated log, and, while it leads, forms groups and tells the entry
// hosts what there is.
package controller
