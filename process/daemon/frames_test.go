package daemon

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/wire"
)

// TestForeignIntroduction guards against a host that introduces another one, with an incarnation or a leader that it doesn't
// have.
func TestForeignIntroduction(t *testing.T) {
	now := clock.NewManual(time.Unix(1_000_000, 0))
	d := &Daemon{clock: now}
	f := &frameHandler{daemon: d}
	f.HandleOneWay("b", wire.Frame{Introduction: &wire.Introduction{ID: "b/1"}})
	for _, id := range []string{"b/2", "a/1", "", "/", "a"} {
		f.HandleOneWay("c", wire.Frame{Introduction: &wire.Introduction{ID: id, Empty: true}})
	}
	for host, want := range map[string]string{"a": "", "b": "b/1", "c": "", "": ""} {
		if got, _ := d.introductions.get(now.Now(), host); got.ID != want || got.Empty {
			t.Errorf("host %q is introduced as %+v, want %q", host, got, want)
		}
	}
}

// TestOldIntroduction guards against a host that leads again, or has been suspended, and takes the disk that another one had long ago for
// its present one.
func TestOldIntroduction(t *testing.T) {
	now := clock.NewManual(time.Unix(1_000_000, 0))
	d := &Daemon{clock: now}
	f := &frameHandler{daemon: d}
	f.HandleOneWay("b", wire.Frame{Introduction: &wire.Introduction{ID: "b/1", Empty: true}})
	for _, tt := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {maxIntroductionAge, true}, {maxIntroductionAge + time.Millisecond, false}, {time.Hour, false}} {
		now.Advance(tt.age - now.Now().Sub(time.Unix(1_000_000, 0)))
		if _, known := d.introductions.get(now.Now(), "b"); known != tt.want {
			t.Errorf("%s after an introduction it is known: %v, want %v", tt.age, known, tt.want)
		}
	}
}
