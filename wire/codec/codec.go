// Package codec encodes the wire types as CBOR.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"savorywing.example/savorywing/wire"
)

const (
	maxElements     = 1 << 22
	maxNestedLevels = 16
	// MaxFrame is the maximum size of one frame, in bytes.
	MaxFrame = 64 << 20
)

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of any wire type.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("codec.Encode: %w", err)
	}
	return b, nil
}

// Decode decodes CBOR into v, a pointer to any wire type.
func Decode(b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("codec.Decode: %w", err)
	}
	return nil
}

// DecodeFrame decodes one frame.
func DecodeFrame(b []byte) (wire.Frame, error) {
	var f wire.Frame
	err := Decode(b, &f)
	return f, err
}
