package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Tokens are the secrets by which daemons recognise each other.
type Tokens struct {
	// Sent is stated in connections to other daemons, and accepted from them.
	Sent string
	// AlsoAccepted are accepted from other daemons too, so that a token can be replaced on one host after the other.
	AlsoAccepted []string
}

// refusalLines is the number of log lines a minute about refused connections.
const refusalLines = 5

// tokenDigests holds values of the Authorization header.
type tokenDigests struct {
	sent     string
	accepted [][]byte
}

// SetTokens replaces the tokens. Open connections stay open.
func (m *Mesh) SetTokens(t Tokens) {
	d := &tokenDigests{sent: TokenDigest(t.Sent), accepted: [][]byte{[]byte(TokenDigest(t.Sent))}}
	for _, token := range t.AlsoAccepted {
		d.accepted = append(d.accepted, []byte(TokenDigest(token)))
	}
	m.tokens.Store(d)
}

// TokenDigest returns what is stated of a token where it must not be sent itself.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte("peer:" + token))
	return hex.EncodeToString(sum[:])
}

// AcceptsDigest reports whether a digest is that of a token in force.
func (m *Mesh) AcceptsDigest(digest string) bool { return m.tokens.Load().accept([]byte(digest)) }

// accept reports whether a digest is that of an accepted token.
func (d *tokenDigests) accept(digest []byte) bool {
	ok := 0
	for _, a := range d.accepted {
		ok |= subtle.ConstantTimeCompare(digest, a)
	}
	return ok == 1
}
