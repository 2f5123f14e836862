package attempt_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/request/attempt"
	"savorywing.example/savorywing/standin"
	"savorywing.example/savorywing/wire"
)

const idleTimeout = 100 * time.Millisecond

// engine starts an emulated engine that holds a model.
func engine(t *testing.T) *standin.Server {
	t.Helper()
	s, err := standin.Start(standin.Config{
		Host: "engine", Listen: "127.0.0.1:0", Kind: savorywing.KindEngine, Slots: 4, Resumable: true, AnnounceInterval: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	s.ExecuteOrder(wire.Order{Kind: savorywing.OrderLoad, Group: "g", Fence: 1, Model: "m", Version: "1"})
	return s
}

func read(b savorywing.Backend, s *standin.Server, resumes bool) (string, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := attempt.Open(ctx, b, savorywing.Target{Address: s.Address(), Host: "engine", Resumable: resumes}, savorywing.Call{
		AttemptID: savorywing.NewID(), Method: "POST", Path: "/v1/completions", FirstByteTimeout: time.Second,
		Body: []byte(`{"model":"m","prompt":"p","max_tokens":6}`),
	}, attempt.WithIdleTimeout(idleTimeout))
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = a.Close() }()
	var text strings.Builder
	for {
		f, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), a.Resumes(), nil
		}
		if err != nil {
			return text.String(), a.Resumes(), err
		}
		text.WriteString(f.Content())
	}
}

// TestCompleteResponseOrError checks the contract of an attempt: the caller gets the complete response of this
// attempt, or an explicit error.
func TestCompleteResponseOrError(t *testing.T) {
	want := strings.Join(standin.ExpectedText("p", 6), "")
	once := func(f standin.Faults) standin.Faults { f.Times = 1; return f }
	tests := []struct {
		name     string
		faults   standin.Faults
		resumes  bool
		complete bool
		resumed  int
		code     savorywing.ErrorCode
	}{
		{"a healthy engine", standin.Faults{}, true, true, 0, ""},
		{"every frame twice", standin.Faults{Duplicate: true}, true, true, 0, ""},
		{"a dropped connection, resumed", once(standin.Faults{DropAfter: 3}), true, true, 1, ""},
		{"a dropped connection, twice", standin.Faults{DropAfter: 3, Times: 2}, true, true, 2, ""},
		{"connections that always drop", standin.Faults{DropAfter: 1}, true, false, 2, savorywing.CodeUnknown},
		{"a silent connection while new ones work", once(standin.Faults{SilentAfter: 2}), true, true, 1, ""},
		{"a stream that ends without its end mark", once(standin.Faults{TruncateAfter: 4}), true, true, 1, ""},
		{"a frame of another attempt", once(standin.Faults{WrongAttemptAfter: 2}), true, true, 1, ""},
		{"a missing frame", once(standin.Faults{SkipAfter: 2}), true, true, 1, ""},
		{"a dropped connection and no resuming", once(standin.Faults{DropAfter: 3}), false, false, 0, savorywing.CodeUnknown},
		{"a truncated stream and no resuming", once(standin.Faults{TruncateAfter: 4}), false, false, 0, savorywing.CodeUnknown},
		{"a frame of another attempt and no resuming", once(standin.Faults{WrongAttemptAfter: 2}), false, false, 0, savorywing.CodeUnknown},
		{"a response of another attempt", standin.Faults{WrongAttempt: true}, true, false, 0, savorywing.CodeUnknown},
		{"a rejection before running", standin.Faults{RejectNotRun: true}, true, false, 0, savorywing.CodeNotRun},
		{"a lost response", standin.Faults{LoseResponse: true}, true, false, 0, savorywing.CodeUnknown},
	}
	for _, tt := range tests {
		Convey("With "+tt.name, t, func() {
			s := engine(t)
			s.SetFaults(tt.faults)
			got, resumed, err := read(backend.New(clock.System{}), s, tt.resumes)
			So(err == nil, ShouldEqual, tt.complete)
			So(resumed, ShouldEqual, tt.resumed)
			if tt.complete {
				So(got, ShouldEqual, want)
				return
			}
			So(want, ShouldStartWith, got)
			So(savorywing.AsRequestError(err).Code(), ShouldEqual, tt.code)
			if tt.code == savorywing.CodeNotRun {
				So(s.Stats().Attempts, ShouldBeEmpty)
			}
		})
	}
}

// TestNothingSent checks that an unreachable engine gives a notRun error.
func TestNothingSent(t *testing.T) {
	Convey("An address where nobody listens", t, func() {
		s := engine(t)
		So(s.Stop(), ShouldBeNil)
		_, _, err := read(backend.New(clock.System{}), s, true)
		So(savorywing.AsRequestError(err).Code(), ShouldEqual, savorywing.CodeNotRun)
	})
}

// TestSequence checks the verdicts on frames in and out of order.
func TestSequence(t *testing.T) {
	Convey("Every frame of the checker's attempt is delivered once and in order", t, func() {
		s := attempt.NewSequenceChecker("a")
		So(s.Check("a", 0), ShouldEqual, attempt.Deliver)
		So(s.Check("a", 0), ShouldEqual, attempt.Drop)
		So(s.Check("b", 1), ShouldEqual, attempt.WrongAttempt)
		So(s.Check("a", 2), ShouldEqual, attempt.MissingFrames)
		So(s.Check("a", 1), ShouldEqual, attempt.Deliver)
		So(s.NextOffset(), ShouldEqual, 2)
	})
}

// FuzzParseFrame feeds arbitrary bytes to the parser of engines' events.
func FuzzParseFrame(f *testing.F) {
	f.Add([]byte(`{"id":"a","seq":0,"choices":[{"delta":{"content":"x"}}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if frame, err := attempt.ParseFrame(b); err == nil {
			_ = frame.Content()
			_ = frame.WithID("other")
		}
	})
}

// BenchmarkFrame measures the cost of one token between the engine's connection and the caller's: parsing its
// event and replacing its ID.
func BenchmarkFrame(b *testing.B) {
	data := []byte(`{"id":"0123456789abcdef0123456789abcdef","object":"chat.completion.chunk","created":1700000000,"model":"ledger","seq":7,"choices":[{"index":0,"delta":{"content":"4f9f2cab-7 "},"finish_reason":null}]}`)
	b.ReportAllocs()
	for range b.N {
		f, err := attempt.ParseFrame(data)
		if err != nil {
			b.Fatal(err)
		}
		if len(f.WithID("fedcba9876543210fedcba9876543210")) == 0 {
			b.Fatal("empty")
		}
	}
}
