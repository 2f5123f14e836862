// Package controller runs a control host of a deployment whose settings list no hosts: backend servers make themselves
// known by reports. A control host receives these reports and keeps the operator's document in the replicated log. While
// it leads, it also forms groups and sends the fleet's state to the entry hosts.
package controller
