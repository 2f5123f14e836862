package main

import (
	"testing"
	"time"

	standin "savorywing.example/savorywing/standin/fleet"
)

// TestFleetDataCentreCutOff guards against callers who aren't served because all entry hosts of their data centre are cut off,
// while those of another one, which are farther, aren't.
func TestFleetDataCentreCutOff(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  standin.Cut
	}{
		{"silent", standin.CutSilent},
		{"accepted and silent", standin.CutAcceptSilent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const hosts = 3
			f := newFleetEnv(t, 3, 6, 20, withPaths, func(f *fleetEnv) {
				f.dataCentre = func(entry int) string { return map[bool]string{true: "a", false: "b"}[entry < hosts] }
			})
			f.waitServing()
			l := f.startCutLoad()
			time.Sleep(time.Second)
			f.cutOff(hosts, tt.cut)
			time.Sleep(cutGrace)
			l.measure(cutMeasured)
			f.cutOff(hosts, standin.NoCut)
			time.Sleep(cutGrace)
			l.end()
			l.checkServed(t, "data centre cut off", hosts)
		})
	}
}

// TestFleetForwardedLethalRequest guards against requests that crash servers and aren't quarantined, or get others quarantined,
// because they reach the servers through a second entry host.
func TestFleetForwardedLethalRequest(t *testing.T) {
	for _, tt := range []lethalRequestCase{
		{"idempotent", "/book/look/x", []string{""}, setLethalBody},
		{"not idempotent", "/book/x", []string{""}, setLethalBody},
		{"stream", "/talk/x", []string{smallModel, largeModel}, setLethalBody},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 3, 30, withPaths)
			f.addPlainServers(1)
			f.waitServing()
			f.cutOffUntilForwarded(1, standin.CutAcceptReset)
			l := f.startRequestLoad(tt)
			defer l.end()
			time.Sleep(time.Second)
			f.fleet.SetLethalBody(lethalBody)
			time.Sleep(6 * time.Second)
			l.reset()
			time.Sleep(4 * time.Second)
			f.checkLethalRequests()
			l.check()
		})
	}
}

// TestFleetForwardedServerLimit guards against servers that get more requests than they state to take because some come
// through a second entry host, and against limits that aren't used in full then.
func TestFleetForwardedServerLimit(t *testing.T) {
	t.Parallel()
	tt := limitCase{"", "/book/look/x", "", (*fleetEnv).plainServers, true, "6", 6, -1, 18, nil}
	f := newFleetEnv(t, 3, 6, 20, withPaths)
	f.waitServing()
	f.cutOffUntilForwarded(4, standin.CutReset)
	limited := tt.servers(f, "")
	l := f.startLimitLoad(tt)
	setLimit(limited, tt.limit)
	inForce := time.Now().Add(limitGrace)
	time.Sleep(limitGrace + 8*time.Second)
	tt.checkUse(t, limited, inForce)
	close(l.stop)
	l.callers.Wait()
	t.Logf("%d served, %d rejected", l.served, l.rejected)
}
