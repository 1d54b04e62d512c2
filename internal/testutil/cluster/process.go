package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Process is one program that a test started. It is killed at the end of the test.
type Process struct {
	t    testing.TB
	Name string
	path string
	args []string
	// LogPath is the file that holds standard output and standard error.
	LogPath string

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	exited  chan struct{}
}

// logTailBytes is how much of a failed test's logs is shown.
const logTailBytes = 4000

// StartProcess starts a program whose output goes to a file in dir.
func StartProcess(t testing.TB, dir, name, path string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, Name: name, path: path, args: args, LogPath: filepath.Join(dir, name+".log")}
	p.Start()
	waits := watchWaits(p)
	t.Cleanup(func() {
		worst := waits()
		p.Kill()
		if t.Failed() {
			t.Logf("longest waits of a thread of %s for a processor, in intervals of %s: %v", name, waitSample, worst)
			t.Logf("end of the log of %s:\n%s", name, p.logTail())
		}
	})
	return p
}

// Start starts the program, or starts it again after its end.
func (p *Process) Start() {
	p.t.Helper()
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = log, log
	assert.NilError(p.t, command.Start())
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.mu.Lock()
	p.command, p.started, p.exited = command, time.Now(), exited
	p.mu.Unlock()
}

// Signal sends a signal; a process that has ended ignores it.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done()
}

// Freeze stops the process without its knowledge; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Stop asks for a graceful stop and waits for the end of the process.
func (p *Process) Stop(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done():
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended within %s", p.Name, limit)
	}
}

// Age returns how long ago the program was last started.
func (p *Process) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// Ended returns how the process has ended, e.g. "signal: hangup", or "" while it runs.
func (p *Process) Ended() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return p.command.ProcessState.String()
	default:
		return ""
	}
}

// Pid returns the process identity of the running program.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Log returns what the program has written so far.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		p.t.Errorf("the log of %s cannot be read: %v", p.Name, err)
	}
	return string(content)
}

func (p *Process) logTail() string {
	content := p.Log()
	if len(content) > logTailBytes {
		content = content[len(content)-logTailBytes:]
		content = content[strings.IndexByte(content, '\n')+1:]
	}
	return content
}
