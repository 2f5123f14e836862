// Package controller runs a control host of a fleet that lists no hosts: it receives the reports of backend
// servers and keeps the operator's document in the replicated log. While it leads, it also forms groups and sends the
// fleet's state to the entry hosts.
package controller
