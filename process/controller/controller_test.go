package controller

import (
	"testing"
	"time"

	"savorywing.example/savorywing/version/instance"
)

// TestReconcilerConfig shows that the times after which members are missed follow the reports' own pace.
func TestReconcilerConfig(t *testing.T) {
	tests := []struct {
		reportMs              int64
		silence, doubt, stall time.Duration
	}{
		{1200, 2600 * time.Millisecond, 1300 * time.Millisecond, 5400 * time.Millisecond},
		{3000, 6200 * time.Millisecond, 3100 * time.Millisecond, 5400 * time.Millisecond},
		{200, leastSilence, leastDoubt, 5400 * time.Millisecond},
	}
	for _, tt := range tests {
		s := &instance.Settings{}
		s.ReportIntervalMs = tt.reportMs
		s.Defaults()
		got := reconcilerConfig(s)
		takeOver := lateReport + takeOverMargin + time.Duration(tt.reportMs)*time.Millisecond
		if got.ReportTimeout != tt.silence || got.SuspectTimeout != tt.doubt || got.StallTimeout != tt.stall || got.TakeoverDelay != takeOver {
			t.Errorf("reports every %d ms: %+v", tt.reportMs, got)
		}
	}
}
