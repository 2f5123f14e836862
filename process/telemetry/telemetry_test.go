package telemetry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
)

func TestText(t *testing.T) {
	tel := New(clock.System{}, zerolog.Nop())
	tel.Count("refused", "reason", "full")
	tel.Count("refused", "reason", "full")
	tel.Gauge("busy", func() float64 { return 3 })
	for i := range 100 {
		tel.Observe("first_event", "route", "talk", time.Duration(i+1)*time.Millisecond)
	}
	text := string(tel.Text())
	for _, want := range []string{`savorywing_refused{reason="full"} 2`, "savorywing_busy 3", `savorywing_first_event_ms_count{route="talk"} 100`} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if got := tel.rows()[0].Quantiles["p90"]; got < 88 || got > 92 {
		t.Errorf("p90 %v ms, want about 90", got)
	}
}

func TestMaxHistograms(t *testing.T) {
	tel := New(clock.System{}, zerolog.Nop())
	for i := range 1000 {
		tel.Observe("whole", "organisation", fmt.Sprint(i), time.Hour)
	}
	if n := len(tel.rows()); n > maxHistograms+1 {
		t.Errorf("got %d histograms, want at most maxHistograms+1", n)
	}
}
