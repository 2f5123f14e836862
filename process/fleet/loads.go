package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Load is what all entry hosts together have in flight at one endpoint.
type Load struct {
	Handle        uint64
	InFlight      int
	WaitingTokens int
	// Stalled reports whether requests are in flight and none makes progress. Progressed reports whether one has
	// made progress lately.
	Stalled, Progressed bool
}

// ErrCorruptLoads reports that packed loads can't be decoded.
var ErrCorruptLoads = errors.New("packed loads are corrupt")

const (
	// tokenUnit is the precision of waiting tokens, in tokens.
	tokenUnit      = 16
	stalledFlag    = 1
	progressedFlag = 2
	flagBits       = 2
	// maxInFlight and maxWaitingUnits are more than all hosts together can have at one endpoint.
	maxInFlight     = 1 << 32
	maxWaitingUnits = 1 << 44
)

// PackLoads encodes loads in a few bytes each, since they go to every entry host several times a second.
func PackLoads(list []Load) []byte {
	var b []byte
	for _, l := range list {
		flags := uint64(0)
		if l.Stalled {
			flags |= stalledFlag
		}
		if l.Progressed {
			flags |= progressedFlag
		}
		b = binary.AppendUvarint(b, l.Handle)
		b = binary.AppendUvarint(b, uint64(max(0, l.InFlight))<<flagBits|flags)
		b = binary.AppendUvarint(b, uint64(max(0, l.WaitingTokens)/tokenUnit))
	}
	return b
}

// UnpackLoads decodes the output of PackLoads.
func UnpackLoads(b []byte) ([]Load, error) {
	var list []Load
	for len(b) > 0 {
		var v [3]uint64
		for i := range v {
			n := 0
			if v[i], n = binary.Uvarint(b); n <= 0 {
				return nil, fmt.Errorf("fleet.UnpackLoads: %w", ErrCorruptLoads)
			}
			b = b[n:]
		}
		if v[1]>>flagBits > maxInFlight || v[2] > maxWaitingUnits {
			return nil, fmt.Errorf("fleet.UnpackLoads: %w", ErrCorruptLoads)
		}
		list = append(list, Load{
			Handle: v[0], InFlight: int(v[1] >> flagBits), WaitingTokens: int(v[2]) * tokenUnit,
			Stalled: v[1]&stalledFlag != 0, Progressed: v[1]&progressedFlag != 0,
		})
	}
	return list, nil
}
