package savorywing

import (
	"crypto/rand"
	"encoding/hex"
)

const idBytes = 16

// ID identifies a request, an attempt or a disk by a random 128-bit number in hexadecimal.
type ID string

// NewID returns a new random ID.
func NewID() ID {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return ID(hex.EncodeToString(b[:]))
}
