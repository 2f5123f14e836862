package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
)

func TestBudget(t *testing.T) {
	Convey("Retries are limited to a ratio of the successes, after an initial burst", t, func() {
		b := NewBudget(0.1)
		spent := 0
		for b.Spend() {
			spent++
		}
		So(spent, ShouldEqual, burst)
		for range 1000 {
			b.RecordSuccess()
			if b.Spend() {
				spent++
			}
		}
		So(spent, ShouldBeBetweenOrEqual, burst+90, burst+110)
	})
}

func TestAllowed(t *testing.T) {
	tests := []struct {
		idempotent bool
		code       savorywing.ErrorCode
		want       bool
	}{
		{true, savorywing.CodeNotRun, true},
		{true, savorywing.CodeUnknown, true},
		{false, savorywing.CodeNotRun, true},
		{false, savorywing.CodeUnknown, false},
	}
	for _, tt := range tests {
		if got := Allowed(tt.idempotent, tt.code); got != tt.want {
			t.Errorf("idempotent %t, %s: got %t, want %t", tt.idempotent, tt.code, got, tt.want)
		}
	}
}
