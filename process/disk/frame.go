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
	magic = "SWF1"
	// headerSize is the size of a frame's header in bytes: magic, payload length and CRC-32C.
	headerSize = len(magic) + 4 + 4
	// maxPayload is the largest valid payload in bytes.
	maxPayload = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// ErrCorrupt means that synced state is lost. A voter that started without that state could break its
	// votes and acknowledgements.
	ErrCorrupt = errors.New("the file is damaged before its end")
	errTorn    = errors.New("incomplete or invalid frame")
)

// frame is the unit of a log file that is written and synced at once.
type frame struct {
	// Identity is the voter's identity, set only in the first frame of a file.
	Identity string `json:"identity,omitempty"`
	// Snapshot reports, in the first frame, whether the log follows a snapshot file of the same generation.
	Snapshot bool              `json:"snapshot,omitempty"`
	Record   savorywing.Record `json:"record"`
}

func encodeFrame(f frame) ([]byte, error) {
	payload, err := codec.Encode(f)
	if err != nil {
		return nil, err
	}
	return encodeChecksummed(payload), nil
}

// encodeChecksummed returns the payload after a header with its length and checksum.
func encodeChecksummed(payload []byte) []byte {
	b := make([]byte, 0, headerSize+len(payload))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// decodeChecksummed returns the payload of the frame at the start of b and the size of the frame in bytes.
func decodeChecksummed(b []byte) ([]byte, int, error) {
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

// decodeFrames returns the valid frames of a log file and their total size in bytes. Invalid bytes at the
// end are ignored. It returns ErrCorrupt if a valid frame follows invalid bytes, or if a payload can't be decoded.
func decodeFrames(b []byte) ([]frame, int, error) {
	var frames []frame
	offset := 0
	for offset < len(b) {
		payload, n, err := decodeChecksummed(b[offset:])
		if err != nil {
			return frames, offset, checkTail(b, offset)
		}
		var f frame
		if err := codec.Decode(payload, &f); err != nil {
			return frames, offset, fmt.Errorf("%w: frame at offset %d: %w", ErrCorrupt, offset, err)
		}
		frames = append(frames, f)
		offset += n
	}
	return frames, offset, nil
}

// checkTail returns ErrCorrupt if a valid frame follows the invalid one at offset.
func checkTail(b []byte, offset int) error {
	for at := offset + 1; at < len(b); at++ {
		next := bytes.Index(b[at:], []byte(magic))
		if next < 0 {
			return nil
		}
		at += next
		if _, _, err := decodeChecksummed(b[at:]); err == nil {
			return fmt.Errorf("%w: invalid frame at offset %d, but a valid one at offset %d", ErrCorrupt, offset, at)
		}
	}
	return nil
}
