package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of the asset ledger.
const (
	recoveryTime = 12 * time.Second
	contactTime  = 3 * time.Second
)

// shrunk freezes a voter, and a second later a machine that was added to the core, so that the one makes way for the other, which can't
// become a voter yet. Then as many voters lose their disks as the installation bears. All machines are back a few seconds later.
func shrunk(ctx context.Context, rec *record, trouble bool) (verdict, error) {
	d, _, err := startRegister(rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	c := newClients(d, "retire", "ledger.example", "key-college")
	traffic, end := context.WithCancel(ctx)
	var sending sync.WaitGroup
	sending.Go(func() { c.run(traffic, http.MethodPost, "/retire/x", retiresPerS, registerLimit) })
	defer sending.Wait()
	defer end()
	time.Sleep(3 * time.Second)
	added := &daemon{d: d, name: fmt.Sprintf("core-%d", len(d.controls)+1), ip: d.newIP(), role: "control", zone: zones[2]}
	if err := added.start(); err != nil {
		return verdict{}, err
	}
	d.controls = append(d.controls, added)
	time.Sleep(5 * time.Second)
	served, sent := c.counts()
	before := float64(served) / float64(sent)
	if trouble {
		if err := d.loseDisks(added); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(recoveryTime)
	rec.add("phase", "recovery_s is over")
	servedSoFar, sentSoFar := c.counts()
	version := d.readBack(contactTime + 5*time.Second)
	time.Sleep(10 * time.Second)
	served, sent = c.counts()
	after := float64(served-servedSoFar) / float64(sent-sentSoFar)
	rec.add("phase", "members: %s", d.members(d.controls...))
	return verdict{
		before >= 0.25 && (after < 0.25 || version != d.version),
		fmt.Sprintf("%.2f of the requests were served before, and %.2f later than recovery_s after all machines were back; the config read back has version %d, the acknowledged one %d", before, after, version, d.version),
	}, nil
}

// loseDisks returns once all machines are back.
func (d *deployment) loseDisks(added *daemon) error {
	leader := d.leader()
	if leader == nil {
		return errors.New("no control host leads")
	}
	var followers []*daemon
	for _, c := range d.controls {
		if c != leader && c != added {
			followers = append(followers, c)
		}
	}
	frozen, wiped := followers[0], followers[1:3]
	d.record.add("trouble", "%s stands still; %s leads", frozen.name, leader.name)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	d.record.add("trouble", "%s stands still", added.name)
	added.signal(syscall.SIGSTOP)
	time.Sleep(1800 * time.Millisecond)
	d.record.add("phase", "members: %s", d.members(leader))
	for _, c := range wiped {
		d.record.add("trouble", "%s loses its disk", c.name)
		c.signal(syscall.SIGKILL)
	}
	for _, c := range wiped {
		c.wait(time.Second)
		if err := os.RemoveAll(filepath.Join(d.dir, c.name)); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, c := range wiped {
		if err := c.start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, c := range []*daemon{frozen, added} {
		d.record.add("trouble", "%s goes on", c.name)
		c.signal(syscall.SIGCONT)
	}
	return nil
}

// readBack reads the config at all control hosts in turn for a time, and returns the newest version; 0 if none was read.
func (d *deployment) readBack(within time.Duration) int {
	newest := 0
	for end := time.Now().Add(within); time.Now().Before(end); {
		for _, c := range d.controls {
			var config struct{ Version int }
			status, b, err := d.call(c, http.MethodGet, "/v1/config/read", nil)
			if err == nil && status == http.StatusOK && json.Unmarshal(b, &config) == nil {
				newest = max(newest, config.Version)
			}
			d.record.add("read", "at %s: status %d, version %d, error %v", c.name, status, config.Version, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return newest
}

// members returns which members of the replicated log some control hosts know.
func (d *deployment) members(hosts ...*daemon) string {
	text := ""
	for _, c := range hosts {
		var s struct {
			Leader  string
			Term    int
			Members []string
		}
		_, b, err := d.call(c, http.MethodGet, "/v1/status", nil)
		if err != nil || json.Unmarshal(b, &s) != nil {
			text += fmt.Sprintf("%s doesn't answer; ", c.name)
			continue
		}
		text += fmt.Sprintf("%s %s: term %d, leader %q, %v; ", c.name, c.ip, s.Term, s.Leader, s.Members)
	}
	return text
}
