// Package standin emulates backend servers, model engines and plain services, with faults that are
// switched on over HTTP.
package standin
