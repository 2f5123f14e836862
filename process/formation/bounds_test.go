package formation

import (
	"math"
	"testing"
	"time"

	"savorywing.example/savorywing/version/catalogue"
)

// TestDocumentOutOfRange guards against numbers in a document that end the leader, or keep it from taking a step. The
// groups of the other model go on.
func TestDocumentOutOfRange(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(e *catalogue.Engine)
	}{
		{"group of -1 hosts", func(e *catalogue.Engine) { e.Models[1].HostsPerGroup = -1 }},
		{"group of 0 hosts", func(e *catalogue.Engine) { e.Models[1].HostsPerGroup = 0 }},
		{"group of many hosts", func(e *catalogue.Engine) { e.Models[1].HostsPerGroup = math.MaxInt }},
		{"huge number of loads", func(e *catalogue.Engine) { e.MaxConcurrentLoads = math.MaxInt }},
		{"negative number of loads", func(e *catalogue.Engine) { e.MaxConcurrentLoads, e.LoadsPerSecond = math.MinInt, math.Inf(-1) }},
		{"endless loads", func(e *catalogue.Engine) { e.Models[1].ColdLoadTime = math.MaxInt64 }},
		{"negative share", func(e *catalogue.Engine) { e.Models[1].InitialShare = math.Inf(-1) }},
		{"time factor NaN", func(e *catalogue.Engine) { e.Models[1].TimeFactor = math.NaN() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 2)
			s.run(9*time.Second, nil)
			s.served = true
			before := s.openGroups()["large"]
			e := *s.catalogue.Service("engines").Engine
			e.Models = append([]catalogue.Model(nil), e.Models...)
			tt.change(&e)
			c, err := catalogue.New(catalogue.Document{Version: 2, Services: []catalogue.Service{{Name: "engines", Engine: &e}}})
			if err != nil {
				t.Fatal(err)
			}
			s.catalogue = c
			s.run(200*time.Millisecond, nil)
			s.elect()
			s.run(10*time.Second, nil)
			if got := s.openGroups()["large"]; got < before {
				t.Errorf("%d groups of the other model are open, want %d", got, before)
			}
		})
	}
}
