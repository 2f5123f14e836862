package daemon

import (
	"testing"

	"savorywing.example/savorywing/wire"
)

// TestForeignIntroduction guards against a host that introduces another one, with an incarnation or a leader that it doesn't
// have.
func TestForeignIntroduction(t *testing.T) {
	d := &Daemon{}
	f := &frameHandler{daemon: d}
	f.HandleOneWay("b", wire.Frame{Introduction: &wire.Introduction{ID: "b/1"}})
	for _, id := range []string{"b/2", "a/1", "", "/", "a"} {
		f.HandleOneWay("c", wire.Frame{Introduction: &wire.Introduction{ID: id, Empty: true}})
	}
	for host, want := range map[string]string{"a": "", "b": "b/1", "c": "", "": ""} {
		if got, _ := d.introductions.get(host); got.ID != want || got.Empty {
			t.Errorf("host %q is introduced as %+v, want %q", host, got, want)
		}
	}
}
