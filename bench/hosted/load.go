package hosted

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
)

const (
	// callers is the number of callers, each with its own connections.
	callers = 12
	// maxPause bounds a caller's pause between two requests.
	maxPause = 60 * time.Millisecond
	// addressesTTL is how long a caller uses the addresses from a directory
	// before it queries a directory again.
	addressesTTL = 2 * time.Second
	// streamEvents is the number of events in a complete stream.
	streamEvents = 12
)

// load runs the callers and counts their requests.
type load struct {
	deployment  *deployment
	lastAttempt atomic.Uint64
	// While calm is set, requests are counted in calmRequests, and those with a
	// whole answer in calmAnswered.
	calm                       atomic.Bool
	calmRequests, calmAnswered atomic.Int64
	wait                       sync.WaitGroup
}

// run starts the callers, which send requests until ctx is done.
func (l *load) run(ctx context.Context) {
	for i := range callers {
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			c := &caller{load: l, rng: rand.New(rand.NewPCG(uint64(i), uint64(l.deployment.block)))}
			c.http = &http.Client{
				Timeout: 6 * time.Second,
				Transport: &http.Transport{
					DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2,
				},
			}
			for ctx.Err() == nil {
				c.sendRequest(ctx)
				time.Sleep(time.Duration(c.rng.Int64N(int64(maxPause))))
			}
		}()
	}
}

type caller struct {
	load            *load
	rng             *rand.Rand
	http            *http.Client
	addresses       []string
	addressesExpire time.Time
}

// address returns a random one of the addresses that a node's directory named
// last, or "" if none are known.
func (c *caller) address() string {
	if time.Now().After(c.addressesExpire) || len(c.addresses) == 0 {
		for range nodeCount {
			if c.refreshAddresses(c.rng.IntN(nodeCount)) {
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *caller) refreshAddresses(node int) bool {
	q := http.Client{Timeout: time.Second}
	a, err := q.Get(hostedsite.AddressesURL(c.load.deployment.address(node+1, directoryPort), host))
	if err != nil {
		return false
	}
	defer a.Body.Close()
	addresses, err := hostedsite.DecodeAddresses(a.Body)
	if err != nil || len(addresses) == 0 {
		return false
	}
	c.addresses, c.addressesExpire = addresses, time.Now().Add(addressesTTL)
	return true
}

// sendRequest sends one request to a random kind of route and checks its answer.
func (c *caller) sendRequest(ctx context.Context) {
	address := c.address()
	if address == "" {
		return
	}
	kind := []string{hostedsite.NonIdempotent, hostedsite.Idempotent, hostedsite.NonResumable, hostedsite.Resumable}[c.rng.IntN(4)]
	attempt := fmt.Sprintf("%s-%d-%d", kind, c.load.deployment.block, c.load.lastAttempt.Add(1))
	if kind == hostedsite.NonIdempotent || kind == hostedsite.NonResumable {
		c.load.deployment.judge.recordAtMostOnce(attempt)
	}
	body := []byte(strings.Repeat("x", 1+c.rng.IntN(20000)))
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/1", bytes.NewReader(body))
	if err != nil {
		c.load.deployment.judge.reportViolation(err.Error())
		return
	}
	// Without GetBody, net/http cannot retry the request by itself.
	r.GetBody = nil
	r.Host = host
	hostedsite.SetAttemptHeaders(r.Header, attempt)
	if kind == hostedsite.NonResumable || kind == hostedsite.Resumable {
		hostedsite.SetPromptHeaders(r.Header, c.rng.Uint64())
	}
	calm := c.load.calm.Load()
	good := c.send(r, kind, attempt, body)
	if calm && c.load.calm.Load() && ctx.Err() == nil {
		c.load.calmRequests.Add(1)
		if good {
			c.load.calmAnswered.Add(1)
		}
	}
}

// send sends a request, checks the answer and reports whether it arrived whole.
func (c *caller) send(r *http.Request, kind, attempt string, body []byte) bool {
	j := c.load.deployment.judge
	a, err := c.http.Do(r)
	if err != nil {
		j.count("no answer")
		c.addresses = nil
		return false
	}
	defer a.Body.Close()
	j.recordAnswer(attempt, a.StatusCode)
	if a.StatusCode != http.StatusOK {
		// The body is read to its end only so that the connection can be reused.
		_, _ = io.Copy(io.Discard, a.Body)
		return false
	}
	if got := hostedsite.Signature(a.Header); got != hostedworker.Signature(attempt, body) {
		j.reportViolation(attempt + ": the signature is another request's")
	}
	if kind == hostedsite.NonIdempotent || kind == hostedsite.Idempotent {
		out, err := io.ReadAll(a.Body)
		if err != nil {
			j.count("answer cut")
			return false
		}
		if !bytes.Equal(out, hostedworker.Answer(attempt, body)) {
			j.reportViolation(fmt.Sprintf("%s: the body is not the worker's: %d bytes %.40q", attempt, len(out), out))
		}
		return true
	}
	return c.checkStream(a.Body, attempt)
}

// checkStream checks that events arrive in order without gaps, and that a stream
// that ends without an error is complete.
func (c *caller) checkStream(body io.Reader, attempt string) bool {
	j := c.load.deployment.judge
	lines := bufio.NewScanner(body)
	seen := 0
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil || n != seen+1 {
			j.reportViolation(fmt.Sprintf("%s: event %q follows event %d", attempt, id, seen))
			return false
		}
		seen = n
	}
	if lines.Err() != nil {
		j.count("stream cut")
		return false
	}
	if seen != streamEvents {
		j.reportViolation(fmt.Sprintf("%s: the stream ends as complete after %d events", attempt, seen))
		return false
	}
	return true
}
