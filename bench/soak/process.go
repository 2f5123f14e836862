package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const settingsMode = 0o600

// process is one daemon that the soak starts, injects faults into and ends, by its own process ID only.
type process struct {
	name, binary, dir, settings string
	control                     bool
	// serveFolder is the folder with the settings for savorywing serve; empty for savorywing run.
	serveFolder string
	// faulty reports whether a fault on the process is not repaired yet. Guarded by run.mu.
	faulty bool
	// disruptions counts the beginnings and ends of faults that may leave requests without an answer.
	disruptions atomic.Int64
	// kills counts the kills that have begun and not ended: a request that is sent meanwhile may find the process alive and get no answer.
	kills atomic.Int64
	// reached reports whether the process has accepted a connection of a caller since its last start. Before that, a signal may
	// end it before it handles signals.
	reached atomic.Bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	frozen bool
	// exitCode is that of the last process that has exited; -1 if a signal ended it.
	exitCode int
}

func (p *process) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	args, err := p.prepare(first)
	if err != nil {
		return fmt.Errorf("process.start: %w", err)
	}
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsMode)
	if err != nil {
		return fmt.Errorf("process.start: %w", err)
	}
	cmd := exec.Command(p.binary, args...) // #nosec G204 -- the binary under test
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process.start: %w", err)
	}
	exited := make(chan struct{})
	p.reached.Store(false)
	p.cmd, p.exited, p.frozen = cmd, exited, false
	go func() {
		_ = cmd.Wait() // the exit code and the log show how it ended
		_ = out.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.exitCode = cmd.ProcessState.ExitCode()
		close(exited)
	}()
	return nil
}

// prepare writes the settings of the process and returns its arguments.
func (p *process) prepare(first bool) ([]string, error) {
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, err
	}
	if p.serveFolder != "" {
		return []string{"serve", "--settings", p.serveFolder, "--stop-within", gracePeriod.String()}, nil
	}
	file := filepath.Join(p.dir, "settings.yaml")
	text := fmt.Sprintf("firstStart: %v\n%s", first, p.settings)
	return []string{"run", "--settings", file}, os.WriteFile(file, []byte(text), settingsMode)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The error is ignored: a process that has already exited needs no signal.
	_ = p.cmd.Process.Signal(s)
	p.frozen = s == syscall.SIGSTOP
}

// end sends a signal and waits for the process to exit. It kills the process after the given time, and reports whether
// the process exited before that.
func (p *process) end(s syscall.Signal, within time.Duration) bool {
	exited := p.exit()
	p.signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(within):
		p.disruptions.Add(1)
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// exit returns a channel that is closed when the process exits.
func (p *process) exit() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// kill kills the process. Requests that are sent meanwhile may stay without an answer.
func (p *process) kill() {
	p.kills.Add(1)
	defer p.kills.Add(-1)
	p.disruptions.Add(1)
	p.end(syscall.SIGKILL, time.Second)
	p.disruptions.Add(1)
}

func (p *process) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

func (p *process) lastExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode
}

func (p *process) running() bool {
	select {
	case <-p.exit():
		return false
	default:
		return true
	}
}

// adopt makes a process that has exited stand for another one, under its own name.
func (p *process) adopt(other *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	p.dir, p.settings, p.cmd, p.exited, p.frozen = other.dir, other.settings, other.cmd, other.exited, other.frozen
}

// deleteData deletes the data folder of a process that has exited.
func (p *process) deleteData() error {
	if err := os.RemoveAll(filepath.Join(p.dir, "data")); err != nil {
		return fmt.Errorf("process.deleteData: %w", err)
	}
	return nil
}
