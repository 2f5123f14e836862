package attempt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

const (
	maxResumes    = 2
	minResumeWait = time.Second
)

// errUnfinished is returned for a resumed stream that ends without the frame that states why.
var errUnfinished = errors.New("the resumed stream lacks its last frame")

// Attempt is one attempt of a request at one backend server.
type Attempt struct {
	backend     savorywing.Backend
	target      savorywing.Target
	call        savorywing.Call
	sequence    *SequenceChecker
	response    savorywing.BackendResponse
	frames      *frames
	idleTimeout time.Duration
	resumes     int
	// hasFinished reports whether a delivered frame has stated why the response ends.
	hasFinished bool
}

// Option sets an optional part of an Attempt.
type Option func(*Attempt)

// WithIdleTimeout sets the longest time without a byte after the first frame; a longer pause ends the connection.
func WithIdleTimeout(d time.Duration) Option {
	return func(a *Attempt) { a.idleTimeout = d }
}

// Open sends the call and returns once the header of the response has arrived.
func Open(ctx context.Context, b savorywing.Backend, t savorywing.Target, call savorywing.Call, opts ...Option) (*Attempt, error) {
	a := &Attempt{backend: b, target: t, call: call, sequence: NewSequenceChecker(string(call.AttemptID)), idleTimeout: call.FirstByteTimeout}
	for _, opt := range opts {
		opt(a)
	}
	if err := a.open(ctx); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Attempt) open(ctx context.Context) error {
	a.call.ResumeOffset = a.sequence.NextOffset()
	response, err := a.backend.Send(ctx, a.target, a.call)
	if err != nil {
		return err
	}
	if response.Status != fasthttp.StatusOK {
		return responseError(response)
	}
	a.response = response
	a.frames = newFrames(response.Stream)
	return nil
}

// responseError closes an unsuccessful response and returns its error.
func responseError(response savorywing.BackendResponse) error {
	_ = response.Stream.Close()
	code := savorywing.CodeUnknown
	if response.NotRun {
		code = savorywing.CodeNotRun
	}
	return savorywing.NewRequestError(code, response.Status, fmt.Sprintf("the backend server answered with status %d", response.Status))
}

// Resumes returns how often it was tried to resume the stream on a new connection, failed tries included.
func (a *Attempt) Resumes() int { return a.resumes }

// Next returns the next frame of the response, and io.EOF after its end mark.
func (a *Attempt) Next(ctx context.Context) (Frame, error) {
	for {
		f, err := a.read()
		if err == nil || errors.Is(err, io.EOF) {
			return f, err
		}
		if err := a.resume(ctx, err); err != nil {
			return Frame{}, err
		}
	}
}

func (a *Attempt) read() (Frame, error) {
	for {
		f, err := a.frames.next()
		if errors.Is(err, io.EOF) && a.resumes > 0 && !a.hasFinished {
			return f, fmt.Errorf("Attempt.read: after %d frames: %w", a.sequence.NextOffset(), errUnfinished)
		}
		if err != nil {
			return f, err
		}
		switch v := a.sequence.Check(f.ID, f.Sequence); v {
		case Deliver:
			a.response.Stream.SetIdleTimeout(a.idleTimeout)
			a.hasFinished = a.hasFinished || f.FinishReason() != ""
			return f, nil
		case Drop:
			continue
		default:
			return f, fmt.Errorf("Attempt.read: frame %d of attempt %s: %s", f.Sequence, f.ID, v)
		}
	}
}

func (a *Attempt) resume(ctx context.Context, cause error) error {
	_ = a.response.Stream.Close()
	lost := savorywing.NewRequestError(savorywing.CodeUnknown, fasthttp.StatusBadGateway,
		"the answer could not be finished", savorywing.WithCause(cause))
	if !a.target.Resumable || a.resumes >= maxResumes || ctx.Err() != nil {
		return lost
	}
	a.resumes++
	a.call.NewConnection = true
	a.call.FirstByteTimeout = max(a.idleTimeout, minResumeWait)
	if err := a.open(ctx); err != nil {
		return lost
	}
	return nil
}

// Close ends the connection unless the response was read to its end.
func (a *Attempt) Close() error {
	return a.response.Stream.Close()
}
