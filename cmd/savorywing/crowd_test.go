package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// The crowds of TestCrowd*, and what the processes that they call may use. A host of the smallest deployments has crowdMemoryMB;
// reservedDescriptors of a process's descriptors are for files outside of its data folder.
const (
	returningCallers    = 300
	returningMemoryMB   = 72
	returningTime       = 2 * time.Second
	crowdMaxDescriptors = 400
	reservedDescriptors = 200
	lookInterval        = 10 * time.Millisecond
	// answerTime bounds the wait of a caller for its answer.
	answerTime = 20 * time.Second
)

// footprint is what a process uses at one time, or the most that it has used. Bytes are those of its resident memory, and those that
// its sockets have received or sent and that nobody has read yet.
type footprint struct {
	resident, unread, untaken, total int
	// descriptors are sockets, pipes and files in the data folder.
	descriptors int
}

func (f footprint) max(g footprint) footprint {
	return footprint{max(f.resident, g.resident), max(f.unread, g.unread), max(f.untaken, g.untaken), max(f.total, g.total), max(f.descriptors, g.descriptors)}
}

// meter records the most that a process uses.
type meter struct {
	p       *process
	dataDir string
	stop    chan struct{}
	done    sync.WaitGroup
	most    footprint
}

func startMeter(p *process, dataDir string) *meter {
	m := &meter{p: p, dataDir: dataDir, stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			m.most = m.most.max(m.look())
			select {
			case <-m.stop:
				return
			case <-time.After(lookInterval):
			}
		}
	})
	return m
}

// end returns the most that was used since the start.
func (m *meter) end() footprint {
	close(m.stop)
	m.done.Wait()
	return m.most
}

// look returns what the process uses now; nothing once it has ended.
func (m *meter) look() footprint {
	pid := m.p.cmd.Process.Pid
	var u footprint
	sockets := map[string]bool{}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u
	}
	for _, d := range descriptors {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, d.Name()))
		if err != nil {
			continue
		}
		inode, isSocket := strings.CutPrefix(target, "socket:[")
		if isSocket {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
		isData := m.dataDir != "" && strings.HasPrefix(target, m.dataDir+string(filepath.Separator))
		if isSocket || isData || strings.HasPrefix(target, "pipe:") {
			u.descriptors++
		}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb) // a process that ends has none
	u.resident = kb << 10
	u.unread, u.untaken = queuedBytes(sockets)
	u.total = u.resident + u.unread + u.untaken
	return u
}

// States of a connection in /proc/net/tcp.
const (
	tcpEstablished = "01"
	tcpCloseWait   = "08"
	tcpListen      = "0A"
)

// Fields of a line of /proc/net/tcp.
const localField, stateField, queuesField, inodeField, tcpFields = 1, 3, 4, 9, 10

// tcpSockets returns the lines of all TCP sockets of this host.
func tcpSockets() [][]string {
	var sockets [][]string
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		b, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if fields := strings.Fields(line); len(fields) >= tcpFields {
				sockets = append(sockets, fields)
			}
		}
	}
	return sockets
}

// queuedBytes returns the bytes in the queues of sockets with some inodes, and of the connections that those that listen have not
// accepted yet.
func queuedBytes(inodes map[string]bool) (unread, untaken int) {
	all := tcpSockets()
	listening := map[string]bool{}
	for _, s := range all {
		if s[stateField] == tcpListen && inodes[s[inodeField]] {
			listening[s[localField]] = true
		}
	}
	for _, s := range all {
		isOpen := s[stateField] == tcpEstablished || s[stateField] == tcpCloseWait
		isWaiting := s[inodeField] == "0" && isOpen && listening[s[localField]]
		if s[stateField] == tcpListen || (!inodes[s[inodeField]] && !isWaiting) {
			continue
		}
		sent, received, _ := strings.Cut(s[queuesField], ":")
		untaken += hexInt(sent)
		unread += hexInt(received)
	}
	return unread, untaken
}

func hexInt(text string) int {
	n, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return int(n)
}

// check checks the most that a process has used, which must still run.
func (m *meter) check(t *testing.T, maxMB, maxDescriptors int) {
	t.Helper()
	select {
	case <-m.p.done:
		t.Fatalf("%s has ended:\n%s", m.p.name, tail(m.p.logText()))
	default:
	}
	u := m.end()
	t.Logf("at the most %d MB (%d resident, %d unread, %d untaken), %d sockets, pipes and data files",
		u.total>>20, u.resident>>20, u.unread>>20, u.untaken>>20, u.descriptors)
	if u.total > maxMB<<20 {
		t.Errorf("%d bytes in use, %d MB allowed", u.total, maxMB)
	}
	if u.descriptors > maxDescriptors {
		t.Errorf("%d sockets, pipes and data files, %d allowed", u.descriptors, maxDescriptors)
	}
}

// caller is what one of a crowd does each time: what it sends, and how it waits.
type caller struct {
	name string
	// parts are sent one after the other, until one can't be.
	parts func(id string) [][]byte
	// reads reports whether the caller reads the response; otherwise it only waits for the end of the connection.
	reads bool
	// receiveBuffer is the size of its receive buffer; 0 for the system's.
	receiveBuffer int
	// closesWrite reports whether it closes its side after it has sent all.
	closesWrite bool
	// from is the address from which it calls; empty for the system's choice, from which ordinary requests come.
	from string
}

// nothingSent is a caller who sends nothing.
var nothingSent = caller{name: "nothing sent", parts: func(string) [][]byte { return nil }, reads: true}

// crowdSource is the address of a crowd that has one of its own.
const crowdSource = "127.0.0.2"

// fromElsewhere returns the same callers at crowdSource.
func fromElsewhere(kinds ...caller) []caller {
	var elsewhere []caller
	for _, kind := range kinds {
		kind.from = crowdSource
		elsewhere = append(elsewhere, kind)
	}
	return elsewhere
}

// returning is a crowd whose callers come back as soon as they are turned away.
type returning struct {
	address  string
	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
	calls    atomic.Int64
	mu       sync.Mutex
	// promised holds the IDs of the requests that were answered with a status that promises that they don't run.
	promised []string
}

// lastCrowd is the number of the last crowd, by which the IDs of its requests are its own.
var lastCrowd atomic.Int64

// startReturning starts n callers that take the kinds in turn.
func startReturning(t *testing.T, address string, n int, kinds ...caller) *returning {
	r := &returning{address: address, stop: make(chan struct{})}
	crowd := lastCrowd.Add(1)
	for i := range n {
		r.done.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-r.stop:
					return
				default:
				}
				r.call(fmt.Sprintf("crowd-%d-%d-%d", crowd, i, k), kinds[(i+k)%len(kinds)])
			}
		})
	}
	t.Cleanup(r.end)
	return r
}

// end stops all callers and returns once they have.
func (r *returning) end() {
	r.stopOnce.Do(func() { close(r.stop) })
	r.done.Wait()
}

func (r *returning) call(id string, kind caller) {
	d := net.Dialer{Timeout: crowdTime}
	if kind.from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(kind.from)}
	}
	c, err := d.Dial("tcp", r.address)
	if err != nil {
		time.Sleep(lookInterval)
		return
	}
	r.calls.Add(1)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-r.stop:
		case <-ended:
		}
		_ = c.Close()
	}()
	tcp, ok := c.(*net.TCPConn)
	if !ok || (kind.receiveBuffer > 0 && tcp.SetReadBuffer(kind.receiveBuffer) != nil) {
		return
	}
	for _, p := range kind.parts(id) {
		if _, err := c.Write(p); err != nil {
			break
		}
	}
	if kind.closesWrite && tcp.CloseWrite() != nil {
		return
	}
	if !kind.reads {
		r.awaitEnd(tcp)
		return
	}
	b, _ := io.ReadAll(io.LimitReader(c, 1<<10)) // the crowd may be reset
	_, _ = io.Copy(io.Discard, c)
	first, _, _ := bytes.Cut(b, []byte("\r\n"))
	for _, status := range []int{fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable} {
		if strings.HasPrefix(string(first), fmt.Sprintf("HTTP/1.1 %d ", status)) {
			r.mu.Lock()
			r.promised = append(r.promised, id)
			r.mu.Unlock()
		}
	}
}

// awaitEnd waits until the other side has closed the connection, or the crowd stops, without reading.
func (r *returning) awaitEnd(c *net.TCPConn) {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(lookInterval):
		}
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
	}
}

// tell logs how often the crowd called.
func (r *returning) tell(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("%d calls, %d answered with a promise", r.calls.Load(), len(r.promised))
}

// crowded is a process that is checked during and after crowds.
type crowded struct {
	p *process
	// dataDir is its data folder; empty if it has none.
	dataDir string
	// send sends an ordinary request and returns the status of the response, and await waits until one is served.
	send  func() int
	await func()
}

// withstand checks a process during and after a crowd at an address, which it returns.
func (c crowded) withstand(t *testing.T, address string, kinds ...caller) *returning {
	t.Helper()
	m := startMeter(c.p, c.dataDir)
	r := startReturning(t, address, returningCallers, kinds...)
	sent, statuses := 0, map[int]int{}
	for end := time.Now().Add(returningTime); time.Now().Before(end); time.Sleep(crowdPollInterval) {
		sent++
		statuses[c.send()]++
	}
	r.end()
	r.tell(t)
	t.Logf("%d of %d ordinary requests were served; by status %v", statuses[fasthttp.StatusOK], sent, statuses)
	c.await()
	m.check(t, returningMemoryMB, crowdMaxDescriptors-reservedDescriptors)
	return r
}
