package core

import (
	"math"
	"slices"
	"time"
)

// job is one attempt that an owner has placed, or discovered in an engine's report.
type job struct {
	allocation Allocation
	// proposed is the allocation that the entry proposed; the owner raises its
	// attempt if it knows of a higher one.
	proposed Allocation
	// entry is the node that serves the caller.
	entry     NodeID
	group     GroupID
	profile   ProfileID
	customer  CustomerID
	prompt    Prompt
	maxTokens Tokens
	prefill   EngineID
	decode    EngineID
	placed    Placed
	// memory is the most memory that the attempt may need on the decode engine.
	memory Tokens
	// perTokenTarget is the target time per output token.
	perTokenTarget time.Duration

	placedAt Instant
	// startsAt and prefillEnds are the predicted times of the prefill.
	startsAt    Instant
	prefillEnds Instant
	// uncached is the number of tokens that the prefill was expected to compute,
	// and predictedHit the number of prompt tokens that were thought to be cached.
	uncached     Tokens
	predictedHit Tokens
	prefilled    bool
	// sharing is the number of transfers on the busier link when the job's
	// transfer began, itself included, or zero if none is running.
	sharing    int
	decoding   bool
	decodingAt Instant
	// batchAtStart is the size of the decode batch when the job joined it.
	batchAtStart int
	// discovered jobs were placed by another owner and found in an engine's
	// report; missedReports counts the consecutive reports without them.
	discovered    bool
	missedReports int
	// askedAt is when the holder was last asked about the job, and movedAt when
	// it was last asked to move it.
	askedAt Instant
	movedAt Instant
	// orphanedAt is when the holder was found dead.
	orphanedAt Option[Instant]
	// confirmed is set once the holder has answered a query about the job.
	confirmed bool
	// endReported is set once the holder has reported that the attempt ended.
	endReported bool
}

// allocationTable holds one engine's allocations: its latest report and the
// attempts that the owner has placed on it.
type allocationTable struct {
	upstream  Upstream
	polling   bool
	reachable bool
	// failedPolls counts consecutive failed polls.
	failedPolls int
	// reported is set once the engine has sent a report, and reportedAt is when
	// the latest one arrived.
	reported   bool
	reportedAt Instant
	state      EngineState
	role       Role
	model      ModelID
	pieces     int
	report     EngineReport
	// jobs are the attempts that this engine prefills or decodes.
	jobs map[Allocation]*job
	// pending are the unfinished prefills sent to this engine, in order, and
	// lastPrefillEnd is when the latest one finished.
	pending        []*job
	lastPrefillEnd Instant
	// plannedUntil is when the engine becomes free by the plan of the pass with
	// the number plannedInPass.
	plannedUntil  Instant
	plannedInPass uint64
	// reservedPieces is the memory reserved for jobs that decode here, in pieces,
	// and batch the number of those jobs.
	reservedPieces int
	batch          int
	// transfers counts the KV cache transfers running to or from the engine.
	transfers int
	cache     cacheEstimate
	// eventsThrough is the number of the latest cache event applied.
	eventsThrough uint64
	drainSince    Option[Instant]
	drained       bool
}

func newAllocationTable(u Upstream) *allocationTable {
	return &allocationTable{upstream: u, jobs: make(map[Allocation]*job), cache: newCacheEstimate()}
}

// applyReport applies an engine's report. If the numbers of its cache events went
// back, the estimate of its cache starts empty.
func (b *allocationTable) applyReport(now Instant, m EngineReport) {
	b.reachable = true
	b.failedPolls = 0
	b.reported = true
	b.reportedAt = now
	b.state = m.State
	b.role = m.Role
	b.model = m.Model
	b.pieces = m.Pieces
	b.report = m
	if m.EventsThrough < b.eventsThrough {
		b.cache = newCacheEstimate()
	}
	b.cache.apply(m.Events)
	b.eventsThrough = m.EventsThrough
}

// free returns the number of pieces of memory that are not reserved.
func (b *allocationTable) free() int { return b.pieces - b.reservedPieces }

// freeAt returns when the prefills sent to the engine are predicted to be finished.
func (b *allocationTable) freeAt(now Instant) Instant {
	at := now
	for i, j := range b.pending {
		took := j.prefillEnds.Sub(j.startsAt)
		if i == 0 {
			at = max(now, j.startsAt.Add(took))
			continue
		}
		at = at.Add(took)
	}
	return at
}

func (b *allocationTable) addPrefill(j *job) {
	b.jobs[j.allocation] = j
	b.pending = append(b.pending, j)
}

// finishPrefill removes a finished prefill and returns when the engine started it.
// The predicted times of the next prefill are moved to start now.
func (b *allocationTable) finishPrefill(now Instant, j *job) (began Instant) {
	i := slices.Index(b.pending, j)
	if i < 0 {
		return now
	}
	began = max(j.placedAt, b.lastPrefillEnd)
	b.pending = slices.Delete(b.pending, i, i+1)
	b.lastPrefillEnd = now
	if len(b.pending) > 0 {
		next := b.pending[0]
		took := next.prefillEnds.Sub(next.startsAt)
		next.startsAt = now
		next.prefillEnds = now.Add(took)
	}
	return began
}

// minPerTokenTarget returns the lowest per-token target among the requests that
// the engine decodes, or target if that is lower.
func (b *allocationTable) minPerTokenTarget(target time.Duration) time.Duration {
	lowest := target
	for _, j := range b.jobs {
		if j.decode == b.upstream.ID && j.perTokenTarget > 0 {
			lowest = min(lowest, j.perTokenTarget)
		}
	}
	return lowest
}

// addJob adds a job to the allocation tables of its engines.
func (s *owner) addJob(j *job) {
	s.jobs[j.allocation] = j
	if last, ok := s.byRequest[j.allocation.Request]; !ok || last.Attempt <= j.allocation.Attempt {
		s.byRequest[j.allocation.Request] = j.allocation
	}
	if b, ok := s.allocationTables[j.prefill]; ok && !j.prefilled {
		b.addPrefill(j)
	}
	if b, ok := s.allocationTables[j.decode]; ok {
		b.jobs[j.allocation] = j
		b.reservedPieces += j.memory.Pieces()
		b.batch++
	}
}

// removeJob removes a job from all allocation tables.
func (s *owner) removeJob(j *job) {
	delete(s.jobs, j.allocation)
	if s.byRequest[j.allocation.Request] == j.allocation {
		delete(s.byRequest, j.allocation.Request)
	}
	if b, ok := s.allocationTables[j.prefill]; ok {
		if i := slices.Index(b.pending, j); i >= 0 {
			b.pending = slices.Delete(b.pending, i, i+1)
		}
		if j.prefill != j.decode {
			delete(b.jobs, j.allocation)
		}
		s.endTransfer(b, j)
	}
	if b, ok := s.allocationTables[j.decode]; ok {
		if _, held := b.jobs[j.allocation]; held {
			delete(b.jobs, j.allocation)
			b.reservedPieces -= j.memory.Pieces()
			b.batch--
		}
		s.endTransfer(b, j)
	}
	j.sharing = 0
}

// endTransfer removes a job's transfer, if one is running, from the transfers on
// an engine's link.
func (s *owner) endTransfer(b *allocationTable, j *job) {
	if j.sharing > 0 {
		b.transfers = max(b.transfers-1, 0)
	}
}

// handleProgress handles an entry's message that an attempt has finished a step.
func (s *owner) handleProgress(n *Node, m AttemptProgress) {
	j, ok := s.jobs[m.Allocation]
	if !ok {
		return
	}
	switch m.Done {
	case PrefillStep:
		s.prefillEnded(n, j, m)
	case ImportStep:
		s.importEnded(n, j, m)
	case DecodeStep:
	}
	if g, ok := s.groups[j.group]; ok {
		s.serveQueue(n, g)
	}
}

func (s *owner) prefillEnded(n *Node, j *job, m AttemptProgress) {
	b, ok := s.allocationTables[j.prefill]
	if !ok || j.prefilled {
		return
	}
	j.prefilled = true
	began := b.finishPrefill(n.now, j)
	uncached := max(j.prompt.Tokens-m.Cached, 0)
	s.ratesOf(b.upstream.Pool).prefill.observe(float64(uncached), n.now.Sub(began).Seconds())
	b.cache.updateConfidence(j.predictedHit, m.Cached)
	b.cache.addAll(j.prompt.Blocks)
	s.beginTransfer(j, b)
}

func (s *owner) beginTransfer(j *job, from *allocationTable) {
	to, ok := s.allocationTables[j.decode]
	if !ok {
		return
	}
	from.transfers++
	to.transfers++
	j.sharing = max(from.transfers, to.transfers)
}

func (s *owner) importEnded(n *Node, j *job, m AttemptProgress) {
	j.decoding = true
	j.decodingAt = n.now
	if to, ok := s.allocationTables[j.decode]; ok {
		j.batchAtStart = to.batch
		if j.sharing > 0 {
			s.ratesOf(to.upstream.Pool).transfer.observe(float64(j.prompt.Tokens)*float64(j.sharing), m.Took.Seconds())
		}
		s.endTransfer(to, j)
	}
	if from, ok := s.allocationTables[j.prefill]; ok {
		delete(from.jobs, j.allocation)
		s.endTransfer(from, j)
	}
	j.sharing = 0
}

// handleAttemptEnded handles an entry's message that an attempt has ended. It is
// acknowledged each time and applied once.
func (s *owner) handleAttemptEnded(n *Node, from NodeID, m AttemptEnded) {
	n.send(from, AttemptEndedAck{Allocation: m.Allocation})
	if _, again := s.ended[m.Allocation]; again {
		return
	}
	s.ended[m.Allocation] = n.now
	if m.Reason == Completed && m.Tokens > 0 {
		s.recordCompleted(n, m.Allocation)
	}
	for _, g := range s.groups {
		if it, ok := g.queue.find(m.Allocation); ok {
			g.queue.remove(it)
		}
	}
	j, ok := s.jobs[m.Allocation]
	if !ok {
		return
	}
	s.observeCompletion(n, j, m)
	s.removeJob(j)
	if g, ok := s.groups[j.group]; ok {
		s.serveQueue(n, g)
	}
}

// observeCompletion updates the averages of answer length, time in decode memory
// and time per token from an attempt that completed. For an attempt that failed on
// an engine it requests a report from that engine.
func (s *owner) observeCompletion(n *Node, j *job, m AttemptEnded) {
	if m.FailedEngine != "" {
		s.handleEngineFailed(n, m.FailedEngine)
	}
	if m.Reason != Completed || j.discovered {
		return
	}
	s.length(j.profile).observe(m.Tokens)
	if g, ok := s.groups[j.group]; ok && j.decoding {
		g.residence += time.Duration(0.02 * float64(n.now.Sub(j.placedAt)-g.residence))
	}
	b, ok := s.allocationTables[j.decode]
	if !ok || m.Tokens < 2 || m.Decoded <= 0 {
		return
	}
	batch := float64(j.batchAtStart+b.batch) / 2
	perToken := m.Decoded.Seconds() / float64(m.Tokens-1)
	s.ratesOf(b.upstream.Pool).step.observe(batch, perToken)
}

// handleEngineFailed requests a report from an engine that failed an attempt, unless
// the latest report is recent, so that its state is known before it receives more
// requests.
func (s *owner) handleEngineFailed(n *Node, id EngineID) {
	b, ok := s.allocationTables[id]
	if !ok || n.now.Sub(b.reportedAt) < n.Settings.PollEvery/4 {
		return
	}
	n.do(PollEngine{Engine: id, EventsAfter: b.eventsThrough})
}

// remaining predicts an upper bound of the time that a job still needs to decode.
// It is unlimited if the job is not decoding yet.
func (s *owner) remaining(n *Node, j *job) time.Duration {
	b, ok := s.allocationTables[j.decode]
	if !ok || !j.decoding {
		return math.MaxInt64
	}
	step := s.ratesOf(b.upstream.Pool).stepTime(b.batch)
	most := time.Duration(float64(j.maxTokens) * float64(step))
	return max(most-n.now.Sub(j.decodingAt), step)
}
