// Package codec encodes the wire types as CBOR.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"savorywing.example/savorywing/wire"
)

const (
	maxElements = 1 << 22
	maxNested   = 16
	// MaxFrame bounds one frame, in bytes.
	MaxFrame = 64 << 20
)

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNested,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR of any wire type.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("codec.Encode: %w", err)
	}
	return b, nil
}

// Decode reads the CBOR of any wire type.
func Decode(b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("codec.Decode: %w", err)
	}
	return nil
}

// DecodeFrame reads one frame.
func DecodeFrame(b []byte) (wire.Frame, error) {
	var f wire.Frame
	err := Decode(b, &f)
	return f, err
}
