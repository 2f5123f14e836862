// Package engine sends HTTP requests to backend servers over kept connections. It never repeats a request by
// itself, passes bodies on as they arrive, and says of each failure whether a byte had been given to a connection.
package engine
