package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenes["drain"] = drainScene }

const (
	drainTime = 2 * time.Second
	// stopAfter is how long after a server has said that it is leaving the leader is stopped.
	stopAfter = 2050 * time.Millisecond
	// workTime is how long a server works on a request.
	workTime = 60 * time.Millisecond
	clients  = 24
	// linger is how long a server goes on after that.
	linger = 5 * time.Second
)

// load is a set of clients that call both entry hosts all the time.
type load struct {
	mu sync.Mutex
	// sent is when each request was sent and entry the host that it was sent to, by its id.
	sent  map[string]time.Time
	entry map[string]int
	// passed is when each entry host first passed on an answer of a server that states that it is leaving.
	passed   map[string]time.Time
	statuses map[int]int
}

func passedKey(entry int, server string) string { return fmt.Sprintf("%d %s", entry, server) }

func (l *load) call(n *installation, entry int) {
	id := nextID()
	l.mu.Lock()
	l.sent[id], l.entry[id] = time.Now(), entry
	l.mu.Unlock()
	got := send(n.callerAddress(entry), rawRequest(http.MethodGet, "/lookup/asset", id, firstKey, nil), 1500*time.Millisecond)
	n.record.add("client: %s to entry host %d: %s", id, entry, got)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[got.status]++
	if got.err != nil || got.header.Get("Server-Leaving") != "1" {
		return
	}
	if key := passedKey(entry, string(got.body)); l.passed[key].IsZero() {
		l.passed[key] = time.Now()
		n.record.add("client: entry host %d passed on an answer of %s with Server-Leaving, to %s", entry, got.body, id)
	}
}

// drainScene replaces a server, and stops the leading control host meanwhile with the trouble.
func drainScene(r *record, trouble bool) (bool, error) {
	n, err := newInstallation(r, 3, 2)
	if n != nil {
		defer n.close()
	}
	if err != nil {
		return false, err
	}
	add := func() error {
		var s *server
		s, err := n.addServer(service, func(*request) answer { return answer{status: 200, body: s.id, delay: workTime} })
		return err
	}
	for range 3 {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := n.publish(config); err != nil {
		return false, err
	}
	if err := n.awaitReady(); err != nil {
		return false, err
	}
	l := &load{sent: map[string]time.Time{}, entry: map[string]int{}, passed: map[string]time.Time{}, statuses: map[int]int{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range clients {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					l.call(n, i%2)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	// The new server starts first. One of three that leaves is less than the share of a service that is replaced.
	if err := add(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := replaceServer(n, n.servers[0], trouble); err != nil {
		return false, err
	}
	close(stop)
	callers.Wait()
	r.add("answers by status: %v", l.statuses)
	return l.judge(n), nil
}

// replaceServer makes a server leave.
func replaceServer(n *installation, s *server, trouble bool) error {
	n.record.add("server %s leaves", s.id)
	s.leave()
	time.Sleep(stopAfter)
	if leader := n.leader(); trouble {
		if leader == nil {
			return fmt.Errorf("the leader isn't known")
		}
		n.record.add("SIGTERM to %s, which leads", leader.name)
		leader.signal(syscall.SIGTERM)
		_ = leader.cmd.Wait()
		n.record.add("%s has ended and is started again", leader.name)
		if err := leader.restart(); err != nil {
			return err
		}
	}
	time.Sleep(linger - stopAfter)
	s.end()
	return nil
}

// judge reports whether a request that was sent later than drainTime after an entry host had passed on an answer with
// Server-Leaving reached that server from that host.
func (l *load) judge(n *installation) bool {
	broken := false
	for _, s := range n.servers {
		for _, q := range s.allArrivals() {
			n.record.add("server %s ran %s, which arrived at %.3f s", s.id, q.id(), q.at.Sub(n.record.start).Seconds())
			entry := l.entry[q.id()]
			passed := l.passed[passedKey(entry, s.id)]
			if late := l.sent[q.id()].Sub(passed); !passed.IsZero() && late > drainTime {
				n.record.add("%s was sent to entry host %d %d ms after that host had passed on an answer of %s with Server-Leaving, and reached that server",
					q.id(), entry, late.Milliseconds(), s.id)
				broken = true
			}
		}
	}
	return broken
}
