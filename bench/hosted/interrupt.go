package hosted

import "sync"

// running holds the deployments of the runs in progress.
var running struct {
	mu          sync.Mutex
	deployments map[*deployment]struct{}
}

// register adds a deployment to those in progress. The returned function removes it.
func register(d *deployment) func() {
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.deployments == nil {
		running.deployments = map[*deployment]struct{}{}
	}
	running.deployments[d] = struct{}{}
	return func() {
		running.mu.Lock()
		defer running.mu.Unlock()
		delete(running.deployments, d)
	}
}

// EndAll ends the daemons of all runs in progress, by their process IDs, and starts no
// more of them. It is for a program that is interrupted.
func EndAll() {
	running.mu.Lock()
	defer running.mu.Unlock()
	for d := range running.deployments {
		d.mu.Lock()
		d.closed = true
		for _, p := range d.nodes {
			if p.cmd != nil {
				// The error is ignored because the process may have ended.
				_ = p.cmd.Process.Kill()
			}
		}
		d.mu.Unlock()
	}
}
