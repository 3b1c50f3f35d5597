package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time that a process gets to end after SIGTERM.
const stopTimeout = 40 * time.Second

// process is a program that can be started, ended and restarted.
type process struct {
	name    string
	program string
	args    []string
	logDir  string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the program and appends its output to its log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		// stop reads the exit code from the ProcessState.
		_ = cmd.Wait()
		close(ended)
	}()
	p.cmd = cmd
	p.ended = ended
	return nil
}

func (p *process) logFile() string { return filepath.Join(p.logDir, p.name+".log") }

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || !p.running() {
		return
	}
	// The error is ignored because the process may just have ended.
	_ = p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.ended != nil {
		<-p.ended
	}
}

// stop sends SIGTERM, and SIGKILL if the process has not ended within
// stopTimeout. It returns the exit code, which is negative for a process that was
// killed or never started.
func (p *process) stop() int {
	if p.ended == nil {
		return -1
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

// alive reports whether the process has been started and is running.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.running()
}
