package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// leaderFreeze is how long a leader stands still so that another host takes over.
	leaderFreeze = 2 * time.Second
	catchUpTime  = 4 * time.Second
	// formerLeaders is the number of hosts that have led and lead no more before a machine is replaced.
	formerLeaders = 2
	// maxRounds bounds how often disks are lost, and lastRoundAt is when the last round must have begun.
	maxRounds   = 2
	lastRoundAt = 52 * time.Second
)

// former lets two control hosts lead and lose the lead, replaces a machine of the core, and then takes the disks of the leader and of one
// more: as many as the installation bears. One of the former leaders takes over, unless the new machine does. In that case it plays another
// round.
func former(ctx context.Context, rec *record, trouble bool) (verdict, error) {
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
	var servedBefore, sentBefore int
	for range maxRounds {
		led := map[*daemon]bool{}
		if trouble {
			if led, err = d.passLead(); err != nil {
				return verdict{}, err
			}
		}
		if err := d.replaceMachine(led); err != nil {
			return verdict{}, err
		}
		servedBefore, sentBefore = c.counts()
		if !trouble {
			break
		}
		if err := d.loseLeader(led); err != nil {
			return verdict{}, err
		}
		time.Sleep(catchUpTime)
		if d.leader() == nil || time.Since(rec.start) > lastRoundAt {
			break
		}
	}
	time.Sleep(recoveryTime)
	rec.add("phase", "recovery_s is over")
	servedSoFar, sentSoFar := c.counts()
	version := d.readBack(contactTime + time.Second)
	time.Sleep(6 * time.Second)
	served, sent := c.counts()
	before, after := float64(servedBefore)/float64(sentBefore), float64(served-servedSoFar)/float64(sent-sentSoFar)
	rec.add("phase", "members: %s", d.members(d.controls...))
	return verdict{
		before >= 0.25 && (after < 0.25 || version != d.version),
		fmt.Sprintf("%.2f of the requests were served before, and %.2f later than recovery_s after all machines were back; the config read back has version %d, the acknowledged one %d", before, after, version, d.version),
	}, nil
}

// awaitLeader returns the control host that leads.
func (d *deployment) awaitLeader() (*daemon, error) {
	for range 50 {
		if l := d.leader(); l != nil {
			return l, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("no control host leads")
}

// passLead freezes the leader until enough hosts have led and lead no more, and returns these.
func (d *deployment) passLead() (map[*daemon]bool, error) {
	led := map[*daemon]bool{}
	for len(led) < formerLeaders {
		l, err := d.awaitLeader()
		if err != nil {
			return nil, err
		}
		d.record.add("trouble", "%s, which leads, stands still", l.name)
		l.signal(syscall.SIGSTOP)
		time.Sleep(leaderFreeze)
		l.signal(syscall.SIGCONT)
		d.record.add("trouble", "%s goes on", l.name)
		time.Sleep(catchUpTime)
		led[l] = true
		next, err := d.awaitLeader()
		if err != nil {
			return nil, err
		}
		delete(led, next)
	}
	return led, nil
}

// replaceMachine adds a machine of the core, and then removes one for good that has never led, with SIGTERM.
func (d *deployment) replaceMachine(led map[*daemon]bool) error {
	leader, err := d.awaitLeader()
	if err != nil {
		return err
	}
	added := &daemon{d: d, name: fmt.Sprintf("core-%d", d.nextHost+1), ip: d.newIP(), role: "control", zone: zones[2]}
	if err := added.start(); err != nil {
		return err
	}
	d.controls = append(d.controls, added)
	time.Sleep(catchUpTime)
	for i, c := range d.controls {
		if c == leader || c == added || led[c] {
			continue
		}
		d.record.add("trouble", "%s is removed for good", c.name)
		c.signal(syscall.SIGTERM)
		c.wait(graceTime)
		d.controls = append(d.controls[:i:i], d.controls[i+1:]...)
		break
	}
	time.Sleep(catchUpTime + 2*time.Second)
	d.record.add("phase", "members: %s", d.members(leader))
	return nil
}

// loseLeader takes the disks of the leader and of another host that hasn't led, and returns once both are back.
func (d *deployment) loseLeader(led map[*daemon]bool) error {
	leader, err := d.awaitLeader()
	if err != nil {
		return err
	}
	if led[leader] {
		return errors.New("a former leader leads again")
	}
	lost := []*daemon{leader}
	for _, c := range d.controls[:len(d.controls)-1] { // the last one has just been added
		if c != leader && !led[c] && len(lost) < d.lost {
			lost = append(lost, c)
		}
	}
	for _, c := range lost {
		d.record.add("trouble", "%s loses its disk, leader %t", c.name, c == leader)
		c.signal(syscall.SIGKILL)
	}
	for _, c := range lost {
		c.wait(time.Second)
		if err := os.RemoveAll(filepath.Join(d.dir, c.name)); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	for _, c := range lost {
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}
