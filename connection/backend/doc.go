// Package backend is the HTTP/1.1 client for backend servers: it sends requests, polls and orders.
package backend
