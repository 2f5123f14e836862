package fleet

import (
	"fmt"
	"time"

	"savorywing.example/savorywing/wire"
)

// RestartInPlace makes a server deregister, at one control address after the other from first on until one acknowledges that, drain, end,
// and start again under its ID. It returns the new incarnation.
func (f *Fleet) RestartInPlace(s *Server, first int, drain time.Duration) (*Server, error) {
	f.mu.Lock()
	s.withdrawn = true
	f.mu.Unlock()
	addresses, withdrawal := f.cfg.ControlAddresses, wire.Report{ID: s.id, Gone: true}
	for i := range addresses {
		if s.callControl(addresses[(first+i)%len(addresses)], withdrawal, withdrawTimeout) {
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
