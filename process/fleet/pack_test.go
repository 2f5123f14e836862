package fleet

import (
	"fmt"
	"reflect"
	"testing"

	"savorywing.example/savorywing/wire"
)

// TestPackEndpoints packs what an entry host is sent of 560 groups, of which some change before the packed list is used.
func TestPackEndpoints(t *testing.T) {
	var list []wire.Endpoint
	for i := range 560 {
		list = append(list, wire.Endpoint{ID: fmt.Sprintf("i-%08x", i*7919), Born: int64(i), Address: "10.1.0.1:80", Service: "s", Slots: 8, Handle: uint64(i + 1)})
	}
	b, err := PackEndpoints(list)
	if err != nil {
		t.Fatal(err)
	}
	changed := list[3]
	changed.Silent = true
	added := wire.Endpoint{ID: "new", Address: "10.1.0.2:80", Service: "s"}
	got, err := UnpackEndpoints(b, []wire.Endpoint{changed, added}, []string{list[5].ID})
	if err != nil {
		t.Fatal(err)
	}
	byID := map[string]wire.Endpoint{}
	for _, e := range got {
		byID[e.ID] = e
	}
	if _, known := byID[list[5].ID]; known || len(got) != 560 || !reflect.DeepEqual(byID[changed.ID], changed) || !reflect.DeepEqual(byID[list[4].ID], list[4]) || byID["new"].Address != added.Address {
		t.Errorf("%d endpoints; changed %+v", len(got), byID[changed.ID])
	}
	if _, err := UnpackEndpoints(b[:len(b)/2], nil, nil); err == nil {
		t.Error("half of a list is accepted")
	}
}
