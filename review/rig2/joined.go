package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
)

const (
	// streamTimeout is the TimeoutMs of the routes, and streamPatience the Deadline-Ms of a caller.
	streamTimeout  = 3 * time.Second
	streamPatience = 14 * time.Second
	// streamEvents is the length of a stream, of which an event comes each eventTime: 2.7 s.
	streamEvents = 27
	// darkTime is how long the machines are without power.
	darkTime  = 2600 * time.Millisecond
	eventTime = 100 * time.Millisecond
	streams   = 12
	// drainTime is how long a worker serves after it has reported that it drains: DrainMs, and two
	// seconds longer.
	drainTime = 4 * time.Second
	// releaseGap is the pause between two steps of the release, and killAfter the time from its
	// beginning until the machines lose power.
	releaseGap = 100 * time.Millisecond
	killAfter  = 2 * time.Second
)

// pauses are those of a caller before it takes a stream up again.
var pauses = []time.Duration{0, time.Second, 7 * time.Second, time.Second}

// playJoined has the workers of a service replaced by those of a later version while streams run, and
// all machines lose power at the same moment, when the old workers are about to leave.
func playJoined(r *recorder, trouble bool) (int, error) {
	s, err := openSite(r, 3, 2, streamTimeout, 600*time.Millisecond)
	if err != nil {
		return cantRun, err
	}
	defer s.close()
	old, err := s.startEngines(10, "v1")
	if err != nil {
		return cantRun, err
	}
	if !s.allReady(15 * time.Second) {
		return cantRun, errors.New("the machines are not ready")
	}
	// The machines have been in service for some seconds when the release begins.
	time.Sleep(8 * time.Second)
	callers := make([]*caller, streams)
	var wait sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{site: s, name: fmt.Sprintf("draft-%d", i), prompt: rand.Uint64()}
		wait.Add(1)
		go func() {
			defer wait.Done()
			callers[i].readStream()
		}()
	}
	released := make(chan error, 1)
	go func() { released <- s.release(old) }()
	time.Sleep(killAfter)
	if trouble {
		r.printf("platform: all machines lose power for %v", darkTime)
		for _, n := range s.nodes {
			n.losePower(darkTime)
		}
	}
	if err := <-released; err != nil {
		return cantRun, err
	}
	wait.Wait()
	joined, whole := 0, 0
	for _, c := range callers {
		if c.joined() {
			joined++
		}
		if len(c.versions) == streamEvents {
			whole++
		}
		r.printf("caller: %s got %d of %d events: %s", c.name, len(c.versions), streamEvents, c.describe())
	}
	r.printf("streams joined of two versions, or with an event missing or twice: %d of %d; whole: %d", joined, streams, whole)
	switch {
	case joined > 2:
		return broken, nil
	case !trouble && whole < streams:
		return cantRun, errors.New("without trouble, streams were not whole")
	}
	return held, nil
}

// release replaces the old workers one after the other: the new one starts first, then the old one
// drains and leaves.
func (s *site) release(old []*worker) error {
	var wait sync.WaitGroup
	for i, w := range old {
		time.Sleep(releaseGap)
		if _, err := s.startEngine(20+i, w.stage, "v2"); err != nil {
			return err
		}
		s.record.printf("release: a %s worker of v2 has started", w.stage)
		time.Sleep(releaseGap)
		w.Drain()
		s.record.printf("release: %s of v1 reports that it drains", w.id)
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(drainTime)
			w.leave()
			s.record.printf("release: %s of v1 has left", w.id)
		}()
	}
	wait.Wait()
	return nil
}

// startEngines starts a prefill engine and two decode engines of a version.
func (s *site) startEngines(first int, version string) ([]*worker, error) {
	var list []*worker
	for i, stage := range []string{hostedworker.Prefill, hostedworker.Decode, hostedworker.Decode} {
		w, err := s.startEngine(first+i, stage, version)
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

func (s *site) startEngine(i int, stage, version string) (*worker, error) {
	return s.startWorker(i, hostedworker.Settings{
		Service: hostedsite.ModelService, Stage: stage, Version: version, Slots: 8, Work: eventTime, Events: streamEvents, Memory: 4000,
	})
}

// caller reads one stream, and takes it up again when it breaks off.
type caller struct {
	site   *site
	name   string
	prompt uint64

	// first is the attempt that brought the first event.
	first    string
	ids      []int
	versions []string
}

func (c *caller) readStream() {
	deadline := time.Now().Add(streamPatience)
	after := time.Duration(0)
	for i := 0; i <= len(pauses) && time.Now().Before(deadline); i++ {
		if i > 0 {
			time.Sleep(max(pauses[i-1], after))
		}
		attempt := fmt.Sprintf("%s.%d", c.name, i+1)
		n := c.site.nodes[rand.IntN(len(c.site.nodes))]
		status, retryAfter, err := c.try(n, attempt, time.Until(deadline))
		after = retryAfter
		c.site.record.printf("caller: %s to %s after event %d: status %d, %v", attempt, n.name(), c.last(), status, err)
		if c.last() == streamEvents {
			return
		}
	}
}

// last returns the id of the last event.
func (c *caller) last() int {
	if len(c.ids) == 0 {
		return 0
	}
	return c.ids[len(c.ids)-1]
}

// try sends an attempt, and reads events until the answer ends. It returns the status, and after which
// time the caller may try again.
func (c *caller) try(n *node, attempt string, patience time.Duration) (int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+"/"+hostedsite.Resumable+"/1", strings.NewReader("draft"))
	if err != nil {
		return 0, 0, err
	}
	r.Host = host
	hostedsite.SetAttemptHeaders(r.Header, attempt, patience)
	hostedsite.SetPromptHeaders(r.Header, c.prompt, false)
	if last := c.last(); last > 0 {
		hostedsite.SetResume(r.Header, last, c.first)
	} else {
		c.first = attempt
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return a.StatusCode, hostedsite.RetryDelay(a.Header, patience), fmt.Errorf("Retry-After %q", a.Header.Get("Retry-After"))
	}
	lines := bufio.NewScanner(a.Body)
	id := 0
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			fields := strings.Fields(line)
			c.ids, c.versions = append(c.ids, id), append(c.versions, fields[len(fields)-1])
		}
	}
	return a.StatusCode, 0, lines.Err()
}

// joined reports whether the stream's events are not those of one version, each once and in order.
func (c *caller) joined() bool {
	for i := range c.ids {
		if c.ids[i] != i+1 || c.versions[i] != c.versions[0] {
			return true
		}
	}
	return false
}

// describe returns the versions of the events, in order.
func (c *caller) describe() string {
	var parts []string
	for i, v := range c.versions {
		if i == 0 || v != c.versions[i-1] {
			parts = append(parts, fmt.Sprintf("%s from event %d", v, c.ids[i]))
		}
	}
	return strings.Join(parts, ", ")
}
