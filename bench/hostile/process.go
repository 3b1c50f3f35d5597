package hostile

import (
	"fmt"
	"os"
	"time"

	"daisyshed.dev/bench/hosted"
)

// PeakMemory returns the highest resident memory of the daemon so far in bytes; zero if it has ended.
func (s *Site) PeakMemory() int64 { return hosted.PeakMemory(s.cmd.Process.Pid) }

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
