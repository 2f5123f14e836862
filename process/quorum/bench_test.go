package quorum

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/wire"
)

// localTransport delivers messages between nodes in one process.
type localTransport struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

func (l *localTransport) SendRaft(messages []wire.RaftMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range messages {
		if n := l.nodes[m.To]; n != nil {
			n.Step([]wire.RaftMessage{m})
		}
	}
}

// startNodes starts n voters with data folders on disk, and returns the leader and all nodes.
func startNodes(tb testing.TB, n int) (*Node, []*Node) {
	tb.Helper()
	l := &localTransport{nodes: map[string]*Node{}}
	var nodes []*Node
	var m wire.Membership
	for i := range n {
		folder, err := disk.Open(tb.TempDir(), fmt.Sprintf("host-%d", i))
		if err != nil {
			tb.Fatal(err)
		}
		node, err := NewNode(folder, clock.System{}, l, 300*time.Millisecond, zerolog.Nop(), WithSeed(uint64(i)+1))
		if err != nil {
			tb.Fatal(err)
		}
		l.mu.Lock()
		l.nodes[node.Status().ID] = node
		l.mu.Unlock()
		m.Members = append(m.Members, wire.Member{ID: node.Status().ID, Voter: true})
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		node.Start()
		tb.Cleanup(node.Stop)
		if err := node.Bootstrap(context.Background(), m); err != nil {
			tb.Fatal(err)
		}
	}
	for range 2000 {
		for _, node := range nodes {
			if node.HasLease() {
				return node, nodes
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	tb.Fatal("no node held the leader's lease within 10 s")
	return nil, nil
}

func claimCommand(key string) wire.Command {
	return wire.Command{Claim: &wire.Claim{
		Organisation: "organisation", Key: key, Digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
		Owner: "entry-1/1700000000", Attempt: "0123456789abcdef0123456789abcdef", KeepMilliseconds: 1 << 40, Limit: 1 << 40,
	}}
}

// benchmarkCommit measures the rate of claims committed by concurrent writers, and the fraction of the time that
// the leader spends in disk syncs.
func benchmarkCommit(b *testing.B, writers int) {
	leader, _ := startNodes(b, 3)
	before := leader.Status()
	b.ResetTimer()
	start := time.Now()
	var wg sync.WaitGroup
	for w := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < b.N; i += writers {
				if _, err := leader.Propose(context.Background(), claimCommand(fmt.Sprint(b.N, "-", i))); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(start)
	after := leader.Status()
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "commits/s")
	b.ReportMetric(float64(after.SyncTime-before.SyncTime)/float64(elapsed), "syncShare")
	b.ReportMetric(float64(b.N)/float64(max(1, after.Syncs-before.Syncs)), "commits/sync")
}

func BenchmarkCommit1(b *testing.B)   { benchmarkCommit(b, 1) }
func BenchmarkCommit16(b *testing.B)  { benchmarkCommit(b, 16) }
func BenchmarkCommit256(b *testing.B) { benchmarkCommit(b, 256) }

// benchmarkRecovery measures the start-up time of a voter with n claims in its snapshot and n entries in its log.
func benchmarkRecovery(b *testing.B, n int) {
	dir := b.TempDir()
	folder, err := disk.Open(dir, "host")
	if err != nil {
		b.Fatal(err)
	}
	if _, err := folder.Load(); err != nil {
		b.Fatal(err)
	}
	m := wire.Membership{Members: []wire.Member{{ID: "host/x", Voter: true}}}
	machine := state.New()
	for i := range n {
		machine.Apply(uint64(i)+2, claimCommand(fmt.Sprint(i)))
	}
	data, err := machine.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	if err := folder.Compact(wire.Snapshot{Index: 1, Term: 1, Membership: &m, Data: data}, savorywing.Record{Term: 1}); err != nil {
		b.Fatal(err)
	}
	for i := range n {
		e := wire.Entry{Index: uint64(i) + 2, Term: 1, Kind: EntryCommand, Data: make([]byte, 300)}
		if err := folder.Append(savorywing.Record{Term: 1, Entries: []wire.Entry{e}}); err != nil {
			b.Fatal(err)
		}
	}
	_ = folder.Close()
	b.ReportMetric(float64(len(data))/float64(n), "snapshotB/claim")
	b.ResetTimer()
	for range b.N {
		f, err := disk.Open(dir, "host")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := NewNode(f, clock.System{}, &localTransport{}, time.Second, zerolog.Nop()); err != nil {
			b.Fatal(err)
		}
		_ = f.Close()
	}
}

func BenchmarkRecovery100(b *testing.B)  { benchmarkRecovery(b, 100) }
func BenchmarkRecovery1000(b *testing.B) { benchmarkRecovery(b, 1000) }
func BenchmarkRecovery8000(b *testing.B) { benchmarkRecovery(b, 8000) }
