package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/ledger"
)

const (
	// abandonShare is the share of payments that a payer gives up for good
	// when it is told NotRun.
	abandonShare = 0.3
	// repeatShare is the share of payments sent again after their answer.
	repeatShare = 0.2
	// payEvery is the mean pause between a payer's payments.
	payEvery = 200 * time.Millisecond
	// mostNotRun is how often a payer repeats a key that is called NotRun.
	mostNotRun = 4
	// mostUnknown is how often a payer repeats a key whose outcome stays
	// Unknown although its upstream was called.
	mostUnknown = 3
)

// payment is one call that may not be repeated.
type payment struct {
	key   string
	body  string
	epoch string
	// ran and notRun are what the payer was told in the end.
	ran, notRun bool
	// sent is set once the key was sent to any daemon.
	sent bool
	// open is set once an attempt ended without a sure outcome.
	open    bool
	refused int
	// unknown counts the answers that the upstream failed.
	unknown int
	first   []byte
	events  history
}

// pay sends payments one after the other until ctx ends.
func (l *load) pay(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		l.payOne(rng)
		time.Sleep(time.Duration(rng.Float64() * 2 * float64(payEvery)))
	}
}

func (l *load) payOne(rng *rand.Rand) {
	n := l.number()
	p := &payment{key: fmt.Sprintf("pay-%d", n), body: fmt.Sprintf(`{"plot":%d,"amount":"41.50"}`, n)}
	deadline := time.Now().Add(giveUpAfter)
	for !p.ran && !p.notRun && p.unknown < mostUnknown && time.Now().Before(deadline) {
		l.sendPayment(rng, p)
	}
	if p.ran && rng.Float64() < repeatShare {
		l.judge.count("payments repeated after their answer")
		l.sendPayment(rng, p)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.payments[p.key] = p
}

// sendPayment sends the payment once and takes in the answer.
func (l *load) sendPayment(rng *rand.Rand, p *payment) {
	address, epoch := l.address(rng)
	if p.epoch == "" {
		p.epoch = epoch
	}
	ctx, cancel := context.WithTimeout(context.Background(), silence+longestWait)
	defer cancel()
	resp, err := l.postPayment(ctx, address, p)
	if err != nil {
		l.judge.count("payments without an answer")
		p.open = true
		p.events.add("%s: %v", address, err)
		pause(problem{RetryAfterMs: 200})
		return
	}
	defer resp.Body.Close()
	if resp.Header.Get("Daisyshed-Outcome") == core.Ran.String() && resp.StatusCode == http.StatusOK {
		p.events.add("%s: ran", address)
		l.paid(p, resp)
		return
	}
	refusal := l.readProblem(resp)
	p.events.add("%s: %d %s %s", address, resp.StatusCode, refusal.Outcome, refusal.Reason)
	l.notPaid(rng, p, refusal)
	if !p.notRun {
		pause(refusal)
	}
}

func (l *load) postPayment(ctx context.Context, address string, p *payment) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/calls/pay-post", strings.NewReader(p.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Daisyshed-Customer", "plot-7")
	req.Header.Set("Idempotency-Key", p.key)
	if p.epoch != "" {
		req.Header.Set("Idempotency-Epoch", p.epoch)
	}
	if !p.sent {
		req.Header.Set("Idempotency-First", "true")
	}
	p.sent = true
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// paid checks that the answer is that of this payment, and always the same.
func (l *load) paid(p *payment, resp *http.Response) {
	var entry ledger.Entry
	var data bytes.Buffer
	_, err := data.ReadFrom(resp.Body)
	if err == nil {
		err = json.Unmarshal(data.Bytes(), &entry)
	}
	if err != nil {
		l.judge.count("payments whose answer broke off")
		p.open = true
		return
	}
	own := entry.Key == p.key && string(entry.Body) == p.body
	same := p.first == nil || bytes.Equal(p.first, data.Bytes())
	l.judge.require(answerOwn, own && same, "%s got %s, before %s", p.key, data.Bytes(), p.first)
	p.first = data.Bytes()
	p.ran = true
	l.judge.count("payments Ran")
}

// notPaid takes in a refusal. A NotRun whose key has no open attempt speaks of
// the key, and the ledger must not know it.
func (l *load) notPaid(rng *rand.Rand, p *payment, refusal problem) {
	l.judge.count("payments " + refusal.Outcome)
	if p.ran {
		l.judge.require(answerOwn, refusal.Outcome != core.NotRun.String(), "%s ran and is now %s", p.key, refusal.Outcome)
		return
	}
	if refusal.Outcome != core.NotRun.String() {
		p.open = true
		if refusal.Reason == core.UpstreamFailed.String() {
			p.unknown++
		}
		return
	}
	times, ok := l.cluster.ran()
	if p.open {
		l.judge.count("payments NotRun after an attempt left open")
		if times[p.key] > 0 {
			l.judge.count("payments NotRun after an earlier attempt that ran, " + refusal.Reason)
		}
	}
	if ok && !p.open {
		l.judge.require(notRunTrue, times[p.key] == 0, "%s: %s", p.key, strings.Join(p.events, "; "))
	}
	p.refused++
	p.notRun = p.refused >= mostNotRun || rng.Float64() < abandonShare
}
