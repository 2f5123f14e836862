package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

// TestTotals compares the sums with those computed anew from the newest report of each host, over random reports and
// expiries.
func TestTotals(t *testing.T) {
	const keep = 2 * time.Second
	r := rand.New(rand.NewPCG(1, 1))
	totals, newest, reportedAt := NewTotals(), map[string][]wire.EndpointLoad{}, map[string]time.Time{}
	now := time.Unix(1000, 0)
	for step := range 2000 {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		host := fmt.Sprint("h", r.IntN(20))
		var loads []wire.EndpointLoad
		for e := range 6 {
			if r.IntN(2) == 0 {
				loads = append(loads, wire.EndpointLoad{ID: fmt.Sprint("e", e), InFlight: 1 + r.IntN(5), WaitingTokens: r.IntN(3000), Stalled: r.IntN(3) == 0, Moved: r.IntN(3) == 0})
			}
		}
		totals.Set(now, host, loads)
		newest[host], reportedAt[host] = loads, now
		totals.Expire(now, keep)
		want := map[string]Load{}
		for h, list := range newest {
			if now.Sub(reportedAt[h]) > keep {
				delete(newest, h)
				continue
			}
			for _, l := range list {
				sum := want[l.ID]
				sum.InFlight += l.InFlight
				sum.WaitingTokens += l.WaitingTokens
				sum.Stalled = sum.Stalled || l.Stalled
				sum.Progressed = sum.Progressed || l.Moved
				want[l.ID] = sum
			}
		}
		for id, sum := range want {
			sum.Stalled = sum.Stalled && !sum.Progressed
			want[id] = sum
		}
		got := map[string]Load{}
		for id, l := range totals.Loads {
			got[id] = l
		}
		if fmt.Sprint(got) != fmt.Sprint(want) || totals.Hosts() != len(newest) {
			t.Fatalf("step %d: %v of %d hosts, want %v of %d", step, got, totals.Hosts(), want, len(newest))
		}
	}
}

// BenchmarkTotals measures one report of an entry host at several numbers of hosts.
func BenchmarkTotals(b *testing.B) {
	for _, hosts := range []int{13, 90, 195, 330} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			totals, now := NewTotals(), time.Unix(1000, 0)
			reports := make([][]wire.EndpointLoad, hosts)
			for h := range reports {
				for e := range 10 {
					reports[h] = append(reports[h], wire.EndpointLoad{ID: fmt.Sprint("endpoint-", (h+e*13)%140), InFlight: 1})
				}
				totals.Set(now, fmt.Sprint(h), reports[h])
			}
			n := 0
			for b.Loop() {
				n++
				totals.Set(now, fmt.Sprint(n%hosts), reports[(n*7)%hosts])
			}
		})
	}
}
