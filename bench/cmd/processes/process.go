package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds a process's end after SIGTERM.
const stopTimeout = 40 * time.Second

// process is one program that may be started again and again.
type process struct {
	name    string
	program string
	args    []string
	logs    string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the program; its output is appended to its log.
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
		// The exit code is read from the state.
		_ = cmd.Wait()
		close(ended)
	}()
	p.cmd = cmd
	p.ended = ended
	return nil
}

func (p *process) logFile() string { return filepath.Join(p.logs, p.name+".log") }

// signal sends a signal to the process by its id, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || !p.running() {
		return
	}
	// A process that has just ended needs no signal.
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

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.ended != nil {
		<-p.ended
	}
}

// stop asks the process to end and kills it if it does not in time. It returns
// the exit code, which is negative for a process that was killed.
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

// alive reports whether the process was started and runs.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.running()
}
