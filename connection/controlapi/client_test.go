package controlapi

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/wire"
)

// orderDialect writes each order as a POST.
type orderDialect struct{ savorywing.OperatorDialect }

func (orderDialect) WriteEvacuation(h *fasthttp.RequestHeader, _ wire.Evacuate) {
	h.SetMethod(fasthttp.MethodPost)
	h.SetRequestURI("/evacuate")
}

// startAnswering starts a control host that answers each call with a status, and returns its address.
func startAnswering(t *testing.T, status int) string {
	t.Helper()
	answer := func(_ context.Context, r *fasthttp.RequestCtx) { r.SetStatusCode(status) }
	s := ingress.New(clock.Boottime{}, ingress.NewRequestHandler(answer, answer), func() ingress.Limits { return ingress.Limits{} }, zerolog.Nop())
	address := freeAddress(t)
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return address
}

// TestEvacuateTriesOtherHosts checks at which statuses a client gives an order up, and at which it calls the next host.
func TestEvacuateTriesOtherHosts(t *testing.T) {
	good := startAnswering(t, fasthttp.StatusOK)
	for _, tc := range []struct {
		status  int
		refused bool
	}{
		{fasthttp.StatusBadRequest, true},
		{fasthttp.StatusNotFound, true},
		{fasthttp.StatusRequestTimeout, false},
		{fasthttp.StatusServiceUnavailable, false},
	} {
		c := NewClient(orderDialect{}, []string{startAnswering(t, tc.status), good})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		err := c.Evacuate(ctx, wire.Evacuate{DataCentre: "a", On: true})
		cancel()
		if errors.Is(err, ErrRefused) != tc.refused || (err == nil) == tc.refused {
			t.Errorf("status %d: %v, want a refusal: %t", tc.status, err, tc.refused)
		}
	}
}
