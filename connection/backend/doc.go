// Package backend speaks HTTP/1.1 to backend servers: requests, polls and orders.
package backend
