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
	// abandonShare is the probability that a payer gives up a payment for good on
	// an answer NotRun.
	abandonShare = 0.3
	// repeatShare is the share of payments that are sent again after an answer
	// Ran.
	repeatShare = 0.2
	// payInterval is the mean pause between two payments of a payer.
	payInterval = 200 * time.Millisecond
	// maxNotRun is the number of NotRun answers after which a payer gives up.
	maxNotRun = 4
	// maxUpstreamFailures is the number of upstream failures after which a payer
	// gives up, counted as in payment.upstreamFailures.
	maxUpstreamFailures = 3
)

// payment is one call that must run at most once, with all its attempts.
type payment struct {
	key   string
	body  string
	epoch string
	// ran and notRun are the final outcome that the payer received; neither is
	// set if the outcome stayed unknown.
	ran, notRun bool
	// sent is set once the key has been sent to any daemon.
	sent bool
	// indefinite is set once an attempt has ended without a definite outcome.
	indefinite    bool
	notRunAnswers int
	// upstreamFailures counts the answers with the reason UpstreamFailed and an
	// outcome other than NotRun.
	upstreamFailures int
	firstAnswer      []byte
	attempts         history
}

// sendPayments sends payments one after another until ctx is done.
func (l *load) sendPayments(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		l.completePayment(rng)
		time.Sleep(time.Duration(rng.Float64() * 2 * float64(payInterval)))
	}
}

func (l *load) completePayment(rng *rand.Rand) {
	n := l.nextNumber()
	p := &payment{key: fmt.Sprintf("pay-%d", n), body: fmt.Sprintf(`{"plot":%d,"amount":"41.50"}`, n)}
	deadline := time.Now().Add(requestTimeout)
	for !p.ran && !p.notRun && p.upstreamFailures < maxUpstreamFailures && time.Now().Before(deadline) {
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

// sendPayment sends the payment once and handles the answer.
func (l *load) sendPayment(rng *rand.Rand, p *payment) {
	address, epoch := l.chooseDaemon(rng)
	if p.epoch == "" {
		p.epoch = epoch
	}
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout+maxRetryWait)
	defer cancel()
	resp, err := l.postPayment(ctx, address, p)
	if err != nil {
		l.judge.count("payments without an answer")
		p.indefinite = true
		p.attempts.add("%s: %v", address, err)
		waitForRetry(problem{RetryAfterMs: 200})
		return
	}
	defer resp.Body.Close()
	if resp.Header.Get("Daisyshed-Outcome") == core.Ran.String() && resp.StatusCode == http.StatusOK {
		p.attempts.add("%s: ran", address)
		l.handleRan(p, resp)
		return
	}
	rejection := l.readProblem(resp)
	p.attempts.add("%s: %d %s %s", address, resp.StatusCode, rejection.Outcome, rejection.Reason)
	l.handleRejection(rng, p, rejection)
	if !p.notRun {
		waitForRetry(rejection)
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

// handleRan checks that the answer belongs to this payment and equals any earlier
// answer to it.
func (l *load) handleRan(p *payment, resp *http.Response) {
	var entry ledger.Entry
	var data bytes.Buffer
	_, err := data.ReadFrom(resp.Body)
	if err == nil {
		err = json.Unmarshal(data.Bytes(), &entry)
	}
	if err != nil {
		l.judge.count("payments whose answer broke off")
		p.indefinite = true
		return
	}
	own := entry.Key == p.key && string(entry.Body) == p.body
	same := p.firstAnswer == nil || bytes.Equal(p.firstAnswer, data.Bytes())
	l.judge.require(paymentAnswerOwn, own && same, "%s got %s, before %s", p.key, data.Bytes(), p.firstAnswer)
	p.firstAnswer = data.Bytes()
	p.ran = true
	l.judge.count("payments Ran")
}

// handleRejection records the outcome of a rejection. If no earlier attempt ended
// without a definite outcome, NotRun covers all attempts with the key, so the
// ledger must not contain it.
func (l *load) handleRejection(rng *rand.Rand, p *payment, rejection problem) {
	l.judge.count("payments " + rejection.Outcome)
	if p.ran {
		l.judge.require(paymentAnswerOwn, rejection.Outcome != core.NotRun.String(), "%s ran and is now %s", p.key, rejection.Outcome)
		return
	}
	if rejection.Outcome != core.NotRun.String() {
		p.indefinite = true
		if rejection.Reason == core.UpstreamFailed.String() {
			p.upstreamFailures++
		}
		return
	}
	times, ok := l.cluster.ledgerCounts()
	if p.indefinite {
		l.judge.count("payments NotRun after an attempt left open")
		if times[p.key] > 0 {
			l.judge.count("payments NotRun after an earlier attempt that ran, " + rejection.Reason)
		}
	}
	if ok && !p.indefinite {
		l.judge.require(notRunTrue, times[p.key] == 0, "%s: %s", p.key, strings.Join(p.attempts, "; "))
	}
	p.notRunAnswers++
	p.notRun = p.notRunAnswers >= maxNotRun || rng.Float64() < abandonShare
}
