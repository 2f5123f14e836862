package evacuation

import (
	"errors"

	"savorywing.example/savorywing/wire"
)

// Errors for orders that aren't proposed to the log.
var (
	// ErrUnknown means that no data centre of the name is known, on a host that knows all of them.
	ErrUnknown = errors.New("no data centre of this name is known")
	// ErrUnsure means that this host may not have heard of the data centre yet.
	ErrUnsure = errors.New("this host doesn't know all data centres yet")
	// ErrOldHost means that a control host would lose the order.
	ErrOldHost = errors.New("a control host runs a version without evacuations")
)

// View is what a control host knows when it receives an order.
type View struct {
	Evacuated *Set
	// IsKnown reports whether a data centre is named in the settings, or by a server or host that has made itself known.
	IsKnown func(name string) bool
	// Complete reports whether this host has had the time to hear of each data centre.
	Complete bool
	// Formats are the formats of the log that other control hosts have announced lately.
	Formats []int
}

// Check returns why an order can't be proposed to the log, or nil. Orders that change nothing are proposed as well: what this host
// knows of the log may be old.
func Check(v View, o wire.Evacuate) error {
	for _, format := range v.Formats {
		if format < LogFormat {
			return ErrOldHost
		}
	}
	switch {
	case v.Evacuated.Covers(o.DataCentre) || v.IsKnown(o.DataCentre):
		return nil
	case v.Complete:
		return ErrUnknown
	}
	return ErrUnsure
}
