package state

import (
	"fmt"
	"runtime"
	"testing"

	"savorywing.example/savorywing/wire"
)

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// benchmarkSize reports the heap and the snapshot size of each of n entries that fill adds to a machine.
func benchmarkSize(b *testing.B, n int, fill func(m *Machine, i int)) {
	var m *Machine
	before := heapBytes()
	for range b.N {
		m = New()
		for i := range n {
			fill(m, i)
		}
	}
	after := heapBytes()
	s, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric((after-before)/float64(n), "heapB/each")
	b.ReportMetric(float64(len(s))/float64(n), "snapshotB/each")
	runtime.KeepAlive(m)
}

func fillClaim(m *Machine, i int) {
	key := fmt.Sprintf("booking-confirmation-%d", i)
	m.Apply(uint64(i), wire.Command{Claim: &wire.Claim{
		Organisation: "tallinn-lennusadam", Key: key, Digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
		Owner: "angaari-01/1700000000000000000", Attempt: "0123456789abcdef0123456789abcdef", KeepMilliseconds: 1 << 40, Limit: 1 << 40,
	}})
	m.Apply(uint64(i), wire.Command{Settle: &wire.Settle{
		Organisation: "tallinn-lennusadam", Key: key, Attempt: "0123456789abcdef0123456789abcdef", Outcome: OutcomeDone, Status: 200,
		ContentType: "application/json", Answer: make([]byte, 200), AnswerKept: true,
	}})
}

func fillGroup(m *Machine, i int) {
	a := &wire.Assign{Group: fmt.Sprintf("assistant-%d", i), Model: "assistant", Version: "2026-11", FabricDomain: "guj-west-a-1"}
	for j := range 4 {
		a.Members = append(a.Members, wire.GroupMember{Host: fmt.Sprintf("engine-%d-%d", i, j)})
	}
	m.Apply(uint64(i), wire.Command{Assign: a})
}

func BenchmarkClaimSize1000(b *testing.B)   { benchmarkSize(b, 1000, fillClaim) }
func BenchmarkClaimSize10000(b *testing.B)  { benchmarkSize(b, 10_000, fillClaim) }
func BenchmarkClaimSize100000(b *testing.B) { benchmarkSize(b, 100_000, fillClaim) }
func BenchmarkGroupSize25(b *testing.B)     { benchmarkSize(b, 25, fillGroup) }
func BenchmarkGroupSize125(b *testing.B)    { benchmarkSize(b, 125, fillGroup) }
func BenchmarkGroupSize525(b *testing.B)    { benchmarkSize(b, 525, fillGroup) }
