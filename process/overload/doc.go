// Package overload decides, for one entry host and one pool of servers that has little free capacity, which requests the host may
// still send and when rejected callers are to return. It does no I/O: the pool's capacity and the time are passed in.
package overload
