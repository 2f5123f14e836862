// Package backend speaks HTTP/1.1 to backend servers: requests, questions and orders.
package backend
