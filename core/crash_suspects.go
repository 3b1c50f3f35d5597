package core

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToBlock is how many upstreams have to end under a request, or while a part's
	// prompts begin to write, before the request or the part is blocked, and
	// crashesToBlockIfSound how many if answers on all the prompt's parts have been sound
	// before.
	crashesToBlock        = 3
	crashesToBlockIfSound = 5
	// minCrashGap is the least time between two ends of upstreams that count, unless the
	// second one ended under a run that began after the first. Upstreams or connections that
	// end at the same moment may have another cause in common. If others end minCauseGap
	// later, the suspect is that cause, and all of them count.
	minCrashGap = 100 * time.Millisecond
	minCauseGap = time.Second
	// suspectFor is how long the end of an engine counts, and soundFor how long a sound
	// answer does.
	suspectFor = 2 * time.Minute
	soundFor   = 10 * time.Minute
	// minBlock is for how long a suspect is blocked at first. It doubles with each trial that
	// ends an upstream, and is maxBlock after maxTrials of them.
	minBlock  = 2 * time.Minute
	maxBlock  = 24 * time.Hour
	maxTrials = 2
	// forgetBlockAfter is for how long a suspect that is due for a trial may get no request
	// before it is forgotten.
	forgetBlockAfter = time.Hour
	// These bound what is remembered, so that callers who invent parts or requests cannot fill
	// the memory.
	maxSoundParts = 8192
	maxSuspects   = 4096
	maxBlocked    = 1024
)

// CrashSuspect identifies what may end upstreams: a part of prompts to a service, or a whole
// request. One of Part and Request is set. Service is empty for a request that may end the
// upstreams of any service.
type CrashSuspect struct {
	Service ServiceID
	Part    PromptPart
	Request RequestKey
}

// String returns the part or the request for the log.
func (s CrashSuspect) String() string {
	if s.Request != "" {
		return "request " + string(s.Request)
	}
	return string(s.Part)
}

// EngineCrash identifies the end of one incarnation of an engine.
type EngineCrash struct {
	Engine EngineID
	Born   int64
}

// CrashReport reports that an upstream ended under a request, as it began to run or to write.
type CrashReport struct {
	Service ServiceID
	// Parts are the parts of the request's prompt, and Request is its key; empty if there is
	// none.
	Parts   []PromptPart
	Request RequestKey
	Crash   EngineCrash
	// RanFor is for how long the request had run.
	RanFor time.Duration
}

// suspicion is that of a suspect under which upstreams ended, without a sound answer since.
type suspicion struct {
	crashes []suspectCrash
	// countedAt is when a crash was counted last.
	countedAt Instant
}

// suspectCrash is the end of an upstream under a suspect. together says that it came less than
// minCrashGap after the last one before it that did not.
type suspectCrash struct {
	EngineCrash
	at       Instant
	together bool
}

// counts reports whether an end counts.
func (s *suspicion) counts(c suspectCrash) bool {
	return !c.together || s.crashes[len(s.crashes)-1].at.Sub(s.crashes[0].at) >= minCauseGap
}

// counted returns the ends that count, and count how many there are.
func (s *suspicion) counted() []EngineCrash {
	var list []EngineCrash
	for _, c := range s.crashes {
		if s.counts(c) {
			list = append(list, c.EngineCrash)
		}
	}
	return list
}

func (s *suspicion) count() int {
	n := 0
	for _, c := range s.crashes {
		if s.counts(c) {
			n++
		}
	}
	return n
}

// add adds the end of an upstream unless there are enough of its kind.
func (s *suspicion) add(c suspectCrash) {
	same := 0
	for _, known := range s.crashes {
		if known.EngineCrash == c.EngineCrash {
			return
		}
		if known.together == c.together {
			same++
		}
	}
	if same >= crashesToBlockIfSound {
		return
	}
	s.crashes = append(s.crashes, c)
	if !c.together {
		s.countedAt = c.at
	}
}

// remove removes the end of an upstream.
func (s *suspicion) remove(crash EngineCrash) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c suspectCrash) bool { return c.EngineCrash == crash })
	if len(s.crashes) > 0 {
		s.crashes[0].together = false
	}
}

// blockedSuspect is a suspect that ends upstreams. Requests with it are rejected until the
// time until; then one of them is a trial.
type blockedSuspect struct {
	until    Instant
	duration time.Duration
	// crashes are the ends for which it is blocked, as far as this node knows them.
	crashes []EngineCrash
	// blockedAt is when it was blocked last.
	blockedAt Instant
	// trialAt is when a trial was sent; zero if there is none. trials counts those that ended
	// an upstream.
	trialAt Instant
	trials  int
}

// suspectList tells which requests end upstreams, by parts of their prompts or as a whole. What
// a request was on when an upstream ended is a suspicion, and a sound answer clears all
// suspects of its request. Of several suspects the one that is most often there, and latest
// in the prompt, is blocked: the others are shared with sound requests. The zero value is an
// empty list.
type suspectList struct {
	sound      map[CrashSuspect]Instant
	suspicions map[CrashSuspect]*suspicion
	blocked    map[CrashSuspect]*blockedSuspect
}

// suspectsOf returns what may end upstreams in a request: the parts of its prompt in order,
// and the whole request.
func suspectsOf(service ServiceID, parts []PromptPart, request RequestKey) []CrashSuspect {
	list := make([]CrashSuspect, 0, len(parts)+2)
	for _, p := range parts {
		list = append(list, CrashSuspect{Service: service, Part: p})
	}
	return append(list, wholeRequest(service, request)...)
}

// wholeRequest returns the suspects of a whole request: at its service, and at any. A route may
// be split between services or moved, and a sound answer of one says nothing about another.
func wholeRequest(service ServiceID, request RequestKey) []CrashSuspect {
	if request == "" {
		return nil
	}
	return []CrashSuspect{{Service: service, Request: request}, {Request: request}}
}

// concerns reports whether requests to a service may have the suspect.
func (s CrashSuspect) concerns(service ServiceID) bool {
	return s.Service == "" || s.Service == service
}

// observeCrash records that an upstream ended under a request, and returns the suspects that
// are blocked by that: the worst part of its prompt, the whole request, or both, as long as
// nothing tells which of them is the cause.
func (l *suspectList) observeCrash(now Instant, r CrashReport) []CrashSuspect {
	for _, key := range suspectsOf(r.Service, r.Parts, r.Request) {
		if b, ok := l.blocked[key]; ok {
			l.extend(now, key, b)
			return nil
		}
	}
	threshold, candidates := crashesToBlock, l.unproven(now, r.Service, r.Parts)
	if len(candidates) == 0 {
		threshold, candidates = crashesToBlockIfSound, suspectsOf(r.Service, r.Parts, "")
	}
	part, most := CrashSuspect{}, 0
	for _, key := range candidates {
		if n := l.suspect(now, key, r); n >= most {
			part, most = key, n
		}
	}
	whole, wholeMost := CrashSuspect{}, 0
	for _, key := range wholeRequest(r.Service, r.Request) {
		delete(l.sound, key)
		if n := l.suspect(now, key, r); n >= wholeMost {
			whole, wholeMost = key, n
		}
	}
	var blocked []CrashSuspect
	if most >= threshold {
		blocked = append(blocked, part)
	}
	if wholeMost >= crashesToBlock {
		blocked = append(blocked, whole)
	}
	for _, key := range blocked {
		crashes := l.suspicions[key].counted()
		l.block(now, key, minBlock)
		if b, ok := l.blocked[key]; ok {
			b.crashes = crashes
		}
	}
	return blocked
}

// unproven returns the parts on which there was no sound answer lately.
func (l *suspectList) unproven(now Instant, service ServiceID, parts []PromptPart) []CrashSuspect {
	var list []CrashSuspect
	for _, key := range suspectsOf(service, parts, "") {
		if !l.isSound(now, key) {
			list = append(list, key)
		}
	}
	return list
}

func (l *suspectList) isSound(now Instant, key CrashSuspect) bool {
	at, ok := l.sound[key]
	return ok && now.Sub(at) < soundFor
}

// suspect records the end of an upstream under a suspect and returns how many there are.
func (l *suspectList) suspect(now Instant, key CrashSuspect, r CrashReport) int {
	s, ok := l.suspicions[key]
	if !ok || now.Sub(s.countedAt) > suspectFor {
		if l.suspicions == nil {
			l.suspicions = map[CrashSuspect]*suspicion{}
		}
		if !ok && len(l.suspicions) >= maxSuspects {
			l.evictSuspects()
		}
		s = &suspicion{}
		l.suspicions[key] = s
	}
	since := now.Sub(s.countedAt)
	apart := len(s.crashes) == 0 || since >= minCrashGap || key.Request != "" && r.RanFor <= since
	s.add(suspectCrash{EngineCrash: r.Crash, at: now, together: !apart})
	return s.count()
}

// evictSuspects makes room for other suspects: a quarter of them goes, those with the fewest
// crashes, and of these the ones whose last is the longest ago. Invented requests do not
// displace those that have ended several upstreams.
func (l *suspectList) evictSuspects() {
	keys := slices.Collect(maps.Keys(l.suspicions))
	slices.SortFunc(keys, func(a, b CrashSuspect) int {
		x, y := l.suspicions[a], l.suspicions[b]
		return cmp.Or(cmp.Compare(x.count(), y.count()), cmp.Compare(x.countedAt, y.countedAt), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Service, b.Service))
	})
	for _, key := range keys[:(len(keys)+3)/4] {
		delete(l.suspicions, key)
	}
}

// retract records that an incarnation which counted as ended has answered: what broke off was
// only a connection. It returns the suspects that are not blocked any more.
func (l *suspectList) retract(crash EngineCrash) []CrashSuspect {
	without := func(list []EngineCrash) []EngineCrash {
		return slices.DeleteFunc(slices.Clone(list), func(c EngineCrash) bool { return c == crash })
	}
	for key, s := range l.suspicions {
		if s.remove(crash); len(s.crashes) == 0 {
			delete(l.suspicions, key)
		}
	}
	var unblocked []CrashSuspect
	for key, b := range l.blocked {
		if slices.Contains(b.crashes, crash) {
			if b.crashes = without(b.crashes); len(b.crashes) < crashesToBlock {
				delete(l.blocked, key)
				unblocked = append(unblocked, key)
			}
		}
	}
	return unblocked
}

// crashesOf returns the ends of upstreams for which a suspect that is not blocked is held,
// and when the last was counted.
func (l *suspectList) crashesOf(now Instant, key CrashSuspect) ([]EngineCrash, Instant) {
	s, ok := l.suspicions[key]
	if !ok || now.Sub(s.countedAt) > suspectFor {
		return nil, 0
	}
	return s.counted(), s.countedAt
}

// block blocks a suspect for at least a duration.
func (l *suspectList) block(now Instant, key CrashSuspect, d time.Duration) {
	if l.blocked == nil {
		l.blocked = map[CrashSuspect]*blockedSuspect{}
	}
	b, ok := l.blocked[key]
	if !ok {
		if len(l.blocked) >= maxBlocked && !l.evictBlocked(now) {
			return
		}
		b = &blockedSuspect{duration: minBlock, blockedAt: now}
		l.blocked[key] = b
	}
	if until := now.Add(d); until > b.until {
		b.until, b.blockedAt = until, now
	}
	delete(l.suspicions, key)
	delete(l.sound, key)
}

// evictBlocked makes room for another blocked suspect and reports whether there is room: one
// that is due for a trial, and has been for the longest time, goes.
func (l *suspectList) evictBlocked(now Instant) bool {
	var oldest CrashSuspect
	var found *blockedSuspect
	for key, b := range l.blocked {
		if b.until <= now && (found == nil || b.until < found.until) {
			oldest, found = key, b
		}
	}
	if found != nil {
		delete(l.blocked, oldest)
	}
	return found != nil
}

// extend blocks a suspect for longer if its trial has ended an upstream. Requests that were on
// their way when it was blocked extend nothing.
func (l *suspectList) extend(now Instant, key CrashSuspect, b *blockedSuspect) {
	if b.trialAt == 0 {
		return
	}
	b.trialAt = 0
	b.trials++
	b.duration *= 2
	if b.trials >= maxTrials {
		b.duration = maxBlock
	}
	l.block(now, key, b.duration)
}

// observeSound records a sound answer to a request, which began at the time begun, and
// returns the suspects that were suspect or blocked until then. An answer that had begun
// before a suspect was blocked says nothing about it.
func (l *suspectList) observeSound(now, begun Instant, keys []CrashSuspect) []CrashSuspect {
	var cleared []CrashSuspect
	for _, key := range keys {
		_, suspect := l.suspicions[key]
		b, blocked := l.blocked[key]
		if blocked && begun <= b.blockedAt {
			continue
		}
		if suspect || blocked {
			cleared = append(cleared, key)
		}
		delete(l.suspicions, key)
		delete(l.blocked, key)
		if key.Part == "" && !blocked {
			// Whole requests rarely come again, so they are not remembered as sound, unless other
			// nodes may still report their block.
			continue
		}
		if l.sound == nil || len(l.sound) >= maxSoundParts && l.sound[key] == 0 {
			l.sound = map[CrashSuspect]Instant{}
		}
		l.sound[key] = now
	}
	return cleared
}

// blocks returns for how long requests with the given suspects are rejected, and for which of
// them; zero if they are not. One whose time has passed is due for a trial; it is rejected
// unless mayTry allows this node to send one.
func (l *suspectList) blocks(now Instant, keys []CrashSuspect, mayTry func(CrashSuspect) bool) (time.Duration, CrashSuspect) {
	for _, key := range keys {
		b, ok := l.blocked[key]
		switch {
		case !ok:
			continue
		case now < b.until:
			return b.until.Sub(now), key
		case now.Sub(b.until) > forgetBlockAfter:
			delete(l.blocked, key)
		case b.trialAt != 0 && now.Sub(b.trialAt) < minBlock || !mayTry(key):
			return minBlock, key
		default:
			b.trialAt = now
		}
	}
	return 0, CrashSuspect{}
}
