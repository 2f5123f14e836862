package savorywing

import (
	"crypto/rand"
	"encoding/hex"
)

const numberBytes = 16

// ID is a random 128-bit number in hexadecimal: of a request, an attempt or a disk.
type ID string

// NewID returns a fresh random number.
func NewID() ID {
	var b [numberBytes]byte
	_, _ = rand.Read(b[:])
	return ID(hex.EncodeToString(b[:]))
}
