package savorywing

import (
	"crypto/rand"
	"encoding/hex"
)

const numberBytes = 16

// Number is a random 128-bit number in hexadecimal: of a request, an attempt or a disk.
type Number string

// NewNumber returns a fresh random number.
func NewNumber() Number {
	var b [numberBytes]byte
	_, _ = rand.Read(b[:])
	return Number(hex.EncodeToString(b[:]))
}
