package hostile

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// peakMemoryField begins the line of a process's peak resident memory, in kilobytes of 1,024 bytes.
const peakMemoryField = "VmHWM:"

// PeakMemory returns the highest resident memory of the daemon so far in bytes; zero if it has ended.
func (s *Site) PeakMemory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
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

// PeakFiles returns the highest number of open descriptors of the daemon that was sampled.
func (s *Site) PeakFiles() int { return int(s.files.Load()) }

// countFiles samples the number of open descriptors until the site is closed.
func (s *Site) countFiles() {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid)); err == nil {
			s.files.Store(max(s.files.Load(), int64(len(entries))))
		}
		select {
		case <-time.After(sampleInterval):
		case <-s.done:
			return
		}
	}
}
