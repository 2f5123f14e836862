package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the installations that the settings are modelled on.
const (
	heartbeat = 1200 * time.Millisecond
	token     = "savorywing-cluster"
)

// deployment is a small installation on loopback addresses: processes of the project, and stand-ins in this process.
type deployment struct {
	root, dir string
	prefix    string
	// ports are the same on all machines.
	callerPort, readyPort, controlPort, peerPort, peerPort2, serverPort int

	seeds    []string
	controls []*daemon
	entries  []*daemon
	record   *record
	limits   string
	lost     int
	nextHost int

	mu      sync.Mutex
	version int
}

// daemon is one process of the project.
type daemon struct {
	d        *deployment
	name, ip string
	role     string
	zone     string
	settings string
	first    bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// current is the installation of the case that is played.
var current atomic.Pointer[deployment]

func newDeployment(rec *record, limits string, lost int) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, record: rec, limits: limits, lost: lost}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		d.callerPort, d.readyPort, d.controlPort, d.peerPort, d.peerPort2, d.serverPort = base, base+1, base+2, base+3, base+4, base+5
		if d.portsFree() {
			current.Store(d)
			return d, nil
		}
	}
	return nil, errors.New("found no free ports")
}

func (d *deployment) portsFree() bool {
	for host := 1; host < 30; host++ {
		for port := d.callerPort; port <= d.serverPort; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) newIP() string {
	d.nextHost++
	return fmt.Sprintf("%s%d", d.prefix, d.nextHost)
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// start starts control hosts and entry hosts, as at the first start of the whole system.
func (d *deployment) start(controls, entries int) error {
	for i := range controls {
		d.controls = append(d.controls, &daemon{d: d, name: fmt.Sprintf("core-%d", i+1), ip: d.newIP(), role: "control", zone: zones[i%len(zones)], first: true})
	}
	for i := range entries {
		d.entries = append(d.entries, &daemon{d: d, name: fmt.Sprintf("edge-%d", i+1), ip: d.newIP(), role: "entry", zone: zones[i%len(zones)], first: true})
	}
	for _, c := range d.controls[:min(3, len(d.controls))] {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", c.ip, d.controlPort))
	}
	for _, p := range d.daemons() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) daemons() []*daemon {
	return append(append([]*daemon{}, d.controls...), d.entries...)
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range d.daemons() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range d.daemons() {
		p.wait(3 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// writeSettings renders deploy/settings.yaml.tmpl for a process.
func (p *daemon) writeSettings() error {
	d := p.d
	var b strings.Builder
	fmt.Fprintf(&b, "role: %s\nname: %s\nip: %s\ndataCentre: %s\n", p.role, p.name, p.ip, p.zone)
	fmt.Fprintf(&b, "regions: {%q: \"geo\", %q: \"geo\", %q: \"geo\"}\n", zones[0], zones[1], zones[2])
	if p.role == "entry" {
		fmt.Fprintf(&b, "callerAddress: %s:%d\nreadyAddress: %s:%d\n", p.ip, d.callerPort, p.ip, d.readyPort)
	} else {
		fmt.Fprintf(&b, "controlAddress: %s:%d\ndataDir: %s\n", p.ip, d.controlPort, filepath.Join(d.dir, p.name))
	}
	fmt.Fprintf(&b, "peerPorts: [%d,%d]\nseeds: [%s]\nfirstStart: %t\nmetricsPort: 0\ntoken: %s\nlostDisks: %d\n", d.peerPort, d.peerPort2, strings.Join(d.seeds, ","), p.first, token, d.lost)
	memory, fds := 206, 2940
	if p.role == "control" {
		memory, fds = 280, 4096
	}
	fmt.Fprintf(&b, "memoryMB: %d\ncpuShare: 0.448\nlinkMbps: 170\nmaxDescriptors: %d\nlimits:\n%s", memory, fds, d.limits)
	p.settings = filepath.Join(d.dir, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(b.String()), 0o600)
}

// start starts the process with the command of its role in deploy/system.toml.
func (p *daemon) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.d.root, "target", "savorywing"), "run")
	cmd.Dir = p.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYWING_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cannot start target/savorywing: %w", err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.first = cmd, done, false
	p.mu.Unlock()
	p.d.record.add("start", "%s %s", p.name, p.ip)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.d.record.add("end", "%s %v", p.name, err)
		close(done)
	}()
	return nil
}

func (p *daemon) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// wait reports whether the process has ended within a time.
func (p *daemon) wait(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// restart stops the process as the provider does, and starts it again.
func (p *daemon) restart(grace time.Duration) error {
	p.d.record.add("signal", "%s SIGTERM", p.name)
	p.signal(syscall.SIGTERM)
	if !p.wait(grace) {
		p.d.record.add("signal", "%s SIGKILL", p.name)
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
	}
	return p.start()
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call of the operator to one control host.
func (d *deployment) call(c *daemon, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.ip, d.controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := control.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// order sends an order of the operator to one control host after the other until it is acknowledged.
func (d *deployment) order(method, path string, body []byte, within time.Duration) error {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		c := d.controls[i%len(d.controls)]
		status, _, err := d.call(c, method, path, body)
		if err == nil && status/100 == 2 {
			d.record.add("ack", "%s %s by %s", method, path, c.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

func (d *deployment) publish(config map[string]any) error {
	d.mu.Lock()
	d.version++
	config["version"] = d.version
	d.mu.Unlock()
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return d.order(http.MethodPost, "/v1/config/replace", b, 15*time.Second)
}

// leader returns the control host that leads, by the status that control hosts serve for operators.
func (d *deployment) leader() *daemon {
	for _, c := range d.controls {
		var s struct{ Leading bool }
		status, b, err := d.call(c, http.MethodGet, "/v1/status", nil)
		if err == nil && status == http.StatusOK && json.Unmarshal(b, &s) == nil && s.Leading {
			return c
		}
	}
	return nil
}

// awaitReady waits until all entry hosts are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		ready := 0
		for _, e := range d.entries {
			if d.isReady(e) {
				ready++
			}
		}
		if ready == len(d.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not all entry hosts are ready")
}

func (d *deployment) isReady(e *daemon) bool {
	resp, err := control.Get(fmt.Sprintf("http://%s:%d/v1/readyz", e.ip, d.readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
