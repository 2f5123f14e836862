package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"savorywing.example/savorywing/platform"
)

// TestCrashOnce guards against a server that crashes, and starts again, once for each request that crashes it.
func TestCrashOnce(t *testing.T) {
	const servers, requests = 100, 8
	f := New(Config{
		Dialect: platform.Dialect{}, ControlAddresses: []string{"127.0.0.1:1"}, ReportInterval: time.Second,
		RestartTime: 50 * time.Millisecond,
	})
	defer f.Close()
	var callers sync.WaitGroup
	for i := range servers {
		// Each server has its own address, so that no other socket takes its port while it is down.
		s, err := f.Add(ServerConfig{ID: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("127.0.1.%d:0", 1+i)})
		if err != nil {
			t.Fatal(err)
		}
		start := make(chan struct{})
		for range requests {
			callers.Go(func() {
				<-start
				s.crash()
			})
		}
		close(start)
	}
	callers.Wait()
	time.Sleep(300 * time.Millisecond)
	if _, crashes := f.LethalTimes(); len(crashes) != servers {
		t.Errorf("got %d crashes of %d servers, want one each", len(crashes), servers)
	}
	for _, v := range f.Violations() {
		t.Errorf("invariant violated: %s", v)
	}
}
