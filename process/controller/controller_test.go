package controller

import (
	"testing"
	"time"

	"savorywing.example/savorywing/version/instance"
)

// TestReconcilerConfig checks that the timeouts after which members count as lost or suspect follow the report interval.
func TestReconcilerConfig(t *testing.T) {
	tests := []struct {
		reportMs                                    int64
		reportTimeout, suspectTimeout, stallTimeout time.Duration
	}{
		{1200, 2625 * time.Millisecond, 1325 * time.Millisecond, 5400 * time.Millisecond},
		{3000, 6225 * time.Millisecond, 3125 * time.Millisecond, 5400 * time.Millisecond},
		{200, minReportTimeout, minSuspectTimeout, 5400 * time.Millisecond},
	}
	for _, tt := range tests {
		s := &instance.Settings{}
		s.ReportIntervalMs = tt.reportMs
		s.Defaults()
		got := reconcilerConfig(s)
		takeoverDelay := maxReportDelay + takeoverMargin + time.Duration(tt.reportMs)*time.Millisecond
		if got.ReportTimeout != tt.reportTimeout || got.SuspectTimeout != tt.suspectTimeout || got.StallTimeout != tt.stallTimeout || got.TakeoverDelay != takeoverDelay {
			t.Errorf("report interval of %d ms: got %+v", tt.reportMs, got)
		}
	}
}
