// Package standin emulates backend servers (model engines and plain services) whose faults are switched on over HTTP.
package standin
