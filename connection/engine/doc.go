// Package engine sends HTTP requests to backend servers over pooled connections. It never retries a request by
// itself and passes bodies on as they arrive. Its errors distinguish requests of which no byte was handed to a
// connection.
package engine
