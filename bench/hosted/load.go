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
	// callers is the number of callers, each with connections of its own.
	callers = 12
	// pauseMax bounds a caller's pause between two requests.
	pauseMax = 60 * time.Millisecond
	// addressesFor is how long callers keep an answer with addresses.
	addressesFor = 2 * time.Second
	// streamEvents is the number of events of a whole answer.
	streamEvents = 12
)

// load is the callers of a run.
type load struct {
	d    *deployment
	next atomic.Uint64
	// calm counts requests and good answers while nothing is disturbed.
	calm      atomic.Bool
	asked, ok atomic.Int64
	wait      sync.WaitGroup
}

// run lets the callers ask until ctx ends.
func (l *load) run(ctx context.Context) {
	for i := range callers {
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			c := &caller{load: l, rng: rand.New(rand.NewPCG(uint64(i), uint64(l.d.net)))}
			c.http = &http.Client{
				Timeout: 6 * time.Second,
				Transport: &http.Transport{
					DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2,
				},
			}
			for ctx.Err() == nil {
				c.ask(ctx)
				time.Sleep(time.Duration(c.rng.Int64N(int64(pauseMax))))
			}
		}()
	}
}

type caller struct {
	load      *load
	rng       *rand.Rand
	http      *http.Client
	addresses []string
	until     time.Time
}

// address returns a node to connect to, as some node's directory says.
func (c *caller) address() string {
	if time.Now().After(c.until) || len(c.addresses) == 0 {
		for range nodes {
			if c.resolve(c.rng.IntN(nodes)) {
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *caller) resolve(node int) bool {
	q := http.Client{Timeout: time.Second}
	a, err := q.Get(hostedsite.AddressesURL(c.load.d.address(node+1, directoryPort), host))
	if err != nil {
		return false
	}
	defer a.Body.Close()
	addresses, err := hostedsite.DecodeAddresses(a.Body)
	if err != nil || len(addresses) == 0 {
		return false
	}
	c.addresses, c.until = addresses, time.Now().Add(addressesFor)
	return true
}

// ask sends one request of a random kind and checks its answer.
func (c *caller) ask(ctx context.Context) {
	address := c.address()
	if address == "" {
		return
	}
	kind := []string{hostedsite.NonIdempotent, hostedsite.Idempotent, hostedsite.NonResumable, hostedsite.Resumable}[c.rng.IntN(4)]
	attempt := fmt.Sprintf("%s-%d-%d", kind, c.load.d.net, c.load.next.Add(1))
	if kind == hostedsite.NonIdempotent || kind == hostedsite.NonResumable {
		c.load.d.judge.asked(attempt)
	}
	body := []byte(strings.Repeat("x", 1+c.rng.IntN(20000)))
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/1", bytes.NewReader(body))
	if err != nil {
		c.load.d.judge.fault(err.Error())
		return
	}
	// A body that cannot be sent anew keeps net/http from sending it anew.
	r.GetBody = nil
	r.Host = host
	hostedsite.SetAttemptHeaders(r.Header, attempt)
	if kind == hostedsite.NonResumable || kind == hostedsite.Resumable {
		hostedsite.SetPromptHeaders(r.Header, c.rng.Uint64())
	}
	calm := c.load.calm.Load()
	good := c.send(r, kind, attempt, body)
	if calm && c.load.calm.Load() && ctx.Err() == nil {
		c.load.asked.Add(1)
		if good {
			c.load.ok.Add(1)
		}
	}
}

// send sends a request and reports whether it got its whole answer.
func (c *caller) send(r *http.Request, kind, attempt string, body []byte) bool {
	j := c.load.d.judge
	a, err := c.http.Do(r)
	if err != nil {
		j.count("no answer")
		c.addresses = nil
		return false
	}
	defer a.Body.Close()
	j.answered(attempt, a.StatusCode)
	if a.StatusCode != http.StatusOK {
		// Nothing of such an answer is of use.
		_, _ = io.Copy(io.Discard, a.Body)
		return false
	}
	if got := hostedsite.Signature(a.Header); got != hostedworker.Signature(attempt, body) {
		j.fault(attempt + ": the signature is another request's")
	}
	if kind == hostedsite.NonIdempotent || kind == hostedsite.Idempotent {
		out, err := io.ReadAll(a.Body)
		if err != nil {
			j.count("answer cut")
			return false
		}
		if !bytes.Equal(out, hostedworker.Answer(attempt, body)) {
			j.fault(fmt.Sprintf("%s: the body is not the worker's: %d bytes %.40q", attempt, len(out), out))
		}
		return true
	}
	return c.stream(a.Body, attempt)
}

// stream checks that events come without gap and that a stream which ends as
// complete is.
func (c *caller) stream(body io.Reader, attempt string) bool {
	j := c.load.d.judge
	lines := bufio.NewScanner(body)
	seen := 0
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil || n != seen+1 {
			j.fault(fmt.Sprintf("%s: event %q follows event %d", attempt, id, seen))
			return false
		}
		seen = n
	}
	if lines.Err() != nil {
		j.count("stream cut")
		return false
	}
	if seen != streamEvents {
		j.fault(fmt.Sprintf("%s: the stream ends as complete after %d events", attempt, seen))
		return false
	}
	return true
}
