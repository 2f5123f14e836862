package fleet

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/wire"
)

// RestartInPlace makes a server deregister, at one control address after the other from first on until one acknowledges that, drain, end,
// and start again under its ID. It returns the new incarnation.
func (f *Fleet) RestartInPlace(s *Server, first int, drain time.Duration) (*Server, error) {
	f.mu.Lock()
	s.withdrawn = true
	f.mu.Unlock()
	for i := range f.cfg.ControlAddresses {
		if s.withdraw(f.cfg.ControlAddresses[(first+i)%len(f.cfg.ControlAddresses)]) {
			break
		}
	}
	time.Sleep(drain)
	s.Kill()
	s.done.Wait()
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return s, nil
	}
	next, err := f.Add(s.ServerConfig)
	if err != nil {
		return nil, fmt.Errorf("Fleet.RestartInPlace: %w", err)
	}
	return next, nil
}

// withdraw deregisters the server and reports whether that was acknowledged.
func (s *Server) withdraw(address string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetBody(s.dialect().WriteReport(&req.Header, wire.Report{ID: s.id, Gone: true}))
	req.URI().SetScheme("http")
	req.URI().SetHost(address)
	return s.client.DoTimeout(req, resp, withdrawTimeout) == nil && resp.StatusCode() == fasthttp.StatusOK
}
