package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// installation is a small deployment on loopback: daemons as processes of their own, and backend servers in this one.
type installation struct {
	dir      string
	record   *record
	ports    ports
	controls []*daemon
	entries  []*daemon
	servers  []*server
	version  uint64
	// slack and windowSeconds are the burst and the window of the retry budget.
	slack, windowSeconds float64
}

// ports are the same on all hosts, which differ by their addresses.
type ports struct{ peer, control, caller, ready, metrics int }

// record writes what was sent, answered and run, and is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Addresses of hosts. Each role has a subnet of its own, so that all hosts can use the same ports.
func controlIP(i int) string { return fmt.Sprintf("127.77.1.%d", 1+i) }
func entryIP(i int) string   { return fmt.Sprintf("127.77.2.%d", 1+i) }
func serverIP(i int) string  { return fmt.Sprintf("127.77.3.%d", 1+i) }

// freePorts finds ports that are free at all addresses of hosts.
func freePorts(hosts []string) (ports, error) {
	var found []int
	for try := 0; len(found) < 5 && try < 200; try++ {
		l, err := net.Listen("tcp", net.JoinHostPort(hosts[0], "0"))
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, host := range hosts[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free && !contains(found, port) {
			found = append(found, port)
		}
	}
	if len(found) < 5 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func contains(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// daemon is one process of the project.
type daemon struct {
	name, ip, settings string
	cmd                *exec.Cmd
	log                *os.File
}

const program = "target/savorywing"

// start runs the command of the deploy file.
func (d *daemon) start() error {
	d.cmd = exec.Command(program, "run")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYWING_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.cmd = nil
}

// newInstallation starts control hosts and entry hosts.
func newInstallation(r *record, controls, entries int, opts ...func(n *installation)) (*installation, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	n := &installation{dir: dir, record: r, slack: 223, windowSeconds: 10}
	for _, opt := range opts {
		opt(n)
	}
	var hosts []string
	for i := range controls {
		hosts = append(hosts, controlIP(i))
	}
	for i := range entries {
		hosts = append(hosts, entryIP(i))
	}
	if n.ports, err = freePorts(hosts); err != nil {
		return n, err
	}
	for i := range controls {
		if err := n.addDaemon(&n.controls, "control", controlIP(i), controls); err != nil {
			return n, err
		}
	}
	for i := range entries {
		if err := n.addDaemon(&n.entries, "entry", entryIP(i), controls); err != nil {
			return n, err
		}
	}
	return n, nil
}

func (n *installation) addDaemon(list *[]*daemon, role, ip string, controls int) error {
	name := role + "-" + ip
	dir := filepath.Join(n.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, n.controlAddress(i))
	}
	// The fields are those of deploy/settings.yaml.tmpl.
	text := fmt.Sprintf("role: %s\nname: %s\nip: %s\ndataCentre: a\n", role, name, ip)
	if role == "entry" {
		text += fmt.Sprintf("callerAddress: %s:%d\nreadyAddress: %s:%d\n", ip, n.ports.caller, ip, n.ports.ready)
	} else {
		text += fmt.Sprintf("controlAddress: %s:%d\ndataDir: %s\n", ip, n.ports.control, filepath.Join(dir, "data"))
	}
	text += fmt.Sprintf("peerPorts: [%d]\nseeds: [%s]\nfirstStart: true\nmetricsPort: %d\ntoken: savorywing-cluster\nlostDisks: %d\n",
		n.ports.peer, strings.Join(seeds, ","), n.ports.metrics, (controls-1)/2)
	text += "memoryMB: 206\ncpuShare: 0.272\nlinkMbps: 700\nmaxDescriptors: 2940\n"
	text += fmt.Sprintf("limits:\n  reportEveryMs: 1200\n  drainMs: 2000\n  graceSeconds: 8\n  revokeMs: 5000\n  configMs: 2000\n  stallMs: 5000\n"+
		"  retryShare: 0.2\n  retryWindowSeconds: %g\n  retrySlack: %g\n", n.windowSeconds, n.slack)
	d := &daemon{name: name, ip: ip, settings: filepath.Join(dir, "settings.yaml"), log: log}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	*list = append(*list, d)
	return d.start()
}

func (n *installation) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", controlIP(i), n.ports.control)
}
func (n *installation) callerAddress(i int) string {
	return fmt.Sprintf("%s:%d", entryIP(i), n.ports.caller)
}

// close ends all processes and servers, and removes their files unless KEEP is set.
func (n *installation) close() {
	for _, d := range append(append([]*daemon{}, n.entries...), n.controls...) {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
		}
		d.kill()
		_ = d.log.Close()
	}
	for _, s := range n.servers {
		s.stop()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(n.dir)
		return
	}
	_ = os.RemoveAll(n.dir)
}

// leader returns the control host to which the servers send their reports.
func (n *installation) leader() *daemon {
	address := ""
	for _, s := range n.servers {
		s.mu.Lock()
		if s.state == "ready" {
			address = s.heartbeatAddr
			if address == "" {
				address = s.reportedTo
			}
		}
		s.mu.Unlock()
	}
	for i, d := range n.controls {
		if n.controlAddress(i) == address {
			return d
		}
	}
	return nil
}

// restart starts a daemon again that has ended, as one of a system that was started before.
func (d *daemon) restart() error {
	b, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), "firstStart: true", "firstStart: false", 1)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return d.start()
}

// callControl makes a call to the control hosts in turn until one of them gives a clear answer.
func (n *installation) callControl(method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	deadline := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last error
	for i := 0; time.Now().Before(deadline); i++ {
		req, err := http.NewRequest(method, "http://"+n.controlAddress(i%len(n.controls))+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			b, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if readErr == nil && resp.StatusCode < 500 {
				return resp.StatusCode, b, nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil, fmt.Errorf("no clear answer to %s %s: %w", method, path, last)
}

// publish sends a config until it is acknowledged.
func (n *installation) publish(text string) error {
	n.version++
	body := strings.Replace(text, "VERSION", fmt.Sprint(n.version), 1)
	status, b, err := n.callControl(http.MethodPost, "/v1/config/replace", []byte(body), 20*time.Second)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("config: status %d: %s", status, b)
	}
	n.record.add("operator: config version %d: status %d, error %v", n.version, status, err)
	return err
}

// awaitReady waits until every entry host says that it is ready.
func (n *installation) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range n.entries {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", entryIP(i), n.ports.ready))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry host %d is not ready: %v", i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
