package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes. Settings state it with a unit.
type Size int

// Units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	// maxSize is one TiB.
	maxSize = 1024 * 1024 * MiB
)

// UnmarshalText parses a size such as 64KiB.
func (s *Size) UnmarshalText(text []byte) error {
	units := []struct {
		suffix string
		unit   Size
	}{{"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}
	for _, u := range units {
		number, found := strings.CutSuffix(string(text), u.suffix)
		if !found {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || n < 0 || n > int(maxSize/u.unit) {
			break
		}
		*s = Size(n) * u.unit
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit, such as 64KiB or 1MiB", text)
}
