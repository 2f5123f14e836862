package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire/codec"
)

const (
	magic      = "SWF1"
	headerSize = len(magic) + 4 + 4
	maxPayload = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// ErrCorrupt says that synced state was lost in the middle of a file; starting would forget promises.
	ErrCorrupt = errors.New("the file is damaged before its end")
	errTorn    = errors.New("torn frame")
)

// frame is one synced unit of a log file.
type frame struct {
	// Identity is set in the first frame of a file only.
	Identity string `json:"identity,omitempty"`
	// Snapshot tells, in the first frame, that a snapshot file of the same generation belongs to the log.
	Snapshot bool              `json:"snapshot,omitempty"`
	Record   savorywing.Record `json:"record"`
}

func encodeFrame(f frame) ([]byte, error) {
	payload, err := codec.Encode(f)
	if err != nil {
		return nil, err
	}
	return seal(payload), nil
}

func seal(payload []byte) []byte {
	b := make([]byte, 0, headerSize+len(payload))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// unseal returns the payload at the start of b and the number of bytes that it takes.
func unseal(b []byte) ([]byte, int, error) {
	if len(b) < headerSize || string(b[:len(magic)]) != magic {
		return nil, 0, errTorn
	}
	n := binary.BigEndian.Uint32(b[len(magic):])
	sum := binary.BigEndian.Uint32(b[len(magic)+4:])
	if n > maxPayload || len(b) < headerSize+int(n) {
		return nil, 0, errTorn
	}
	payload := b[headerSize : headerSize+int(n)]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, 0, errTorn
	}
	return payload, headerSize + int(n), nil
}

// decodeFrames returns the whole frames of a log file and the length of the part that they fill.
// A torn frame at the end is left out; one with whole frames behind it is ErrCorrupt.
func decodeFrames(b []byte) ([]frame, int, error) {
	var frames []frame
	offset := 0
	for offset < len(b) {
		payload, n, err := unseal(b[offset:])
		if err != nil {
			return frames, offset, checkTail(b, offset)
		}
		var f frame
		if err := codec.Decode(payload, &f); err != nil {
			return frames, offset, fmt.Errorf("%w: offset %d: %w", ErrCorrupt, offset, err)
		}
		frames = append(frames, f)
		offset += n
	}
	return frames, offset, nil
}

func checkTail(b []byte, offset int) error {
	for at := offset + 1; at < len(b); at++ {
		next := bytes.Index(b[at:], []byte(magic))
		if next < 0 {
			return nil
		}
		at += next
		if _, _, err := unseal(b[at:]); err == nil {
			return fmt.Errorf("%w: offset %d, with a whole frame at %d", ErrCorrupt, offset, at)
		}
	}
	return nil
}
