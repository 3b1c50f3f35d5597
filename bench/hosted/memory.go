package hosted

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryInterval is the interval at which the daemons' memory is read. It is short
	// because a daemon that reads without a limit fills the machine's memory fast.
	memoryInterval = 20 * time.Millisecond
	// megabyte is the unit of the memory limit in settings, in bytes.
	megabyte = 1_000_000
	// peakMemoryField begins the line of a process's peak resident memory, in kilobytes of
	// 1,024 bytes.
	peakMemoryField = "VmHWM:"
)

// memoryLimits are the memory limits of nodes on the platform's sites, in megabytes.
var memoryLimits = []int{134, 284}

// watchMemory checks the daemons' memory until the run ends. One that exceeds its limit is
// reported and killed, as the platform does. Programs built with the race detector are not
// checked: it uses several times the memory.
func (d *deployment) watchMemory() {
	if hasRaceDetector(d.bin) {
		return
	}
	for {
		select {
		case <-time.After(memoryInterval):
		case <-d.done:
			return
		}
		for _, p := range d.nodes {
			d.checkMemory(p)
		}
	}
}

// checkMemory kills a daemon that exceeds its memory limit, and restarts it.
func (d *deployment) checkMemory(p *process) {
	d.mu.Lock()
	if p.cmd == nil || !p.running() || p.overLimit {
		d.mu.Unlock()
		return
	}
	used := PeakMemory(p.cmd.Process.Pid)
	d.peakMemory = max(d.peakMemory, used)
	p.overLimit = used > int64(d.memoryMB)*megabyte
	overLimit := p.overLimit
	d.mu.Unlock()
	if !overLimit {
		return
	}
	d.judge.reportViolation(memoryViolation(p.index, used, d.memoryMB))
	end := d.judge.beginDisturbance()
	d.signal(p, syscall.SIGKILL)
	go func() {
		defer end()
		d.wait(p)
		d.restart(p)
	}()
}

// peakMegabytes returns the highest memory that a daemon has used, in megabytes.
func (d *deployment) peakMegabytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int(d.peakMemory / megabyte)
}

func memoryViolation(index int, used int64, limitMB int) string {
	return fmt.Sprintf("MEMORY: n%d used %d MB of %d MB", index+1, used/megabyte, limitMB)
}

// PeakMemory returns the peak resident memory of a process in bytes; zero if it has ended.
func PeakMemory(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, peakMemoryField); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// hasRaceDetector reports whether a program was built with the race detector.
func hasRaceDetector(bin string) bool {
	info, err := buildinfo.ReadFile(bin)
	if err != nil {
		return false
	}
	for _, s := range info.Settings {
		if s.Key == "-race" {
			return s.Value == "true"
		}
	}
	return false
}
