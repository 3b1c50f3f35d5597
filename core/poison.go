package core

import (
	"slices"
	"time"
)

const (
	// poisonCrashes is how many engines have to end while a part's prompts begin to write
	// before the part is blocked, and poisonCrashesIfSound how many if answers on all the
	// prompt's parts have been sound before.
	poisonCrashes        = 3
	poisonCrashesIfSound = 5
	// minCrashGap is the least time between two ends of engines that count for one part.
	// Engines or connections that end at the same moment have another cause in common.
	minCrashGap = 100 * time.Millisecond
	// suspectFor is how long the end of an engine counts, and soundFor how long a sound
	// answer does.
	suspectFor = 2 * time.Minute
	soundFor   = 10 * time.Minute
	// minBlock and maxBlock bound for how long a part is blocked. It doubles with each trial
	// that ends an engine.
	minBlock = 2 * time.Minute
	maxBlock = time.Hour
	// forgetBlockAfter is for how long a part that is due for a trial may get no request
	// before it is forgotten.
	forgetBlockAfter = time.Hour
	// These bound the parts that are remembered, so that callers who invent parts cannot fill
	// the memory.
	maxSoundParts   = 8192
	maxSuspectParts = 4096
	maxBlockedParts = 1024
)

// ServicePart is a part of prompts to one service.
type ServicePart struct {
	Service ServiceID
	Part    PromptPart
}

// EngineCrash identifies the end of one incarnation of an engine.
type EngineCrash struct {
	Engine EngineID
	Born   int64
}

// suspectPart is a part whose prompts began to write when engines ended, without a sound
// answer since.
type suspectPart struct {
	crashes []EngineCrash
	// countedAt is when a crash was counted last.
	countedAt Instant
}

// blockedPart is a part that ends engines. Requests with it are rejected until the time
// until; then one of them is a trial.
type blockedPart struct {
	until    Instant
	duration time.Duration
	// blockedAt is when it was blocked last.
	blockedAt Instant
	// trialAt is when a trial was sent; zero if there is none.
	trialAt Instant
}

// poisonList tells which parts of prompts end engines. What a request was on when an engine
// ended is a suspicion, a sound answer clears all parts of its prompt, and of several suspect
// parts the one that is most often there, and latest in the prompt, is blocked: the others
// are shared with sound requests. The zero value is an empty list.
type poisonList struct {
	sound    map[ServicePart]Instant
	suspects map[ServicePart]*suspectPart
	blocked  map[ServicePart]*blockedPart
}

// observeCrash records that an engine ended while a prompt with the given parts began to
// write. It returns the part that is blocked by that, if any.
func (l *poisonList) observeCrash(now Instant, service ServiceID, parts []PromptPart, crash EngineCrash) Option[ServicePart] {
	for _, p := range parts {
		key := ServicePart{service, p}
		if b, ok := l.blocked[key]; ok {
			l.extend(now, key, b)
			return None[ServicePart]()
		}
	}
	threshold, candidates := poisonCrashes, l.unproven(now, service, parts)
	if len(candidates) == 0 {
		threshold = poisonCrashesIfSound
		for _, p := range parts {
			candidates = append(candidates, ServicePart{service, p})
		}
	}
	worst, most := ServicePart{}, 0
	for _, key := range candidates {
		if n := l.suspect(now, key, crash); n >= most {
			worst, most = key, n
		}
	}
	if most < threshold {
		return None[ServicePart]()
	}
	l.block(now, worst, minBlock)
	return Some(worst)
}

// unproven returns the parts on which there was no sound answer lately.
func (l *poisonList) unproven(now Instant, service ServiceID, parts []PromptPart) []ServicePart {
	var list []ServicePart
	for _, p := range parts {
		if key := (ServicePart{service, p}); !l.isSound(now, key) {
			list = append(list, key)
		}
	}
	return list
}

func (l *poisonList) isSound(now Instant, key ServicePart) bool {
	at, ok := l.sound[key]
	return ok && now.Sub(at) < soundFor
}

// suspect records an engine's end under a part and returns how many there are.
func (l *poisonList) suspect(now Instant, key ServicePart, crash EngineCrash) int {
	s, ok := l.suspects[key]
	if !ok || now.Sub(s.countedAt) > suspectFor {
		if l.suspects == nil || len(l.suspects) >= maxSuspectParts {
			l.suspects = map[ServicePart]*suspectPart{}
		}
		s = &suspectPart{}
		l.suspects[key] = s
	}
	apart := len(s.crashes) == 0 || now.Sub(s.countedAt) >= minCrashGap
	if apart && !slices.Contains(s.crashes, crash) && len(s.crashes) < poisonCrashesIfSound {
		s.crashes = append(s.crashes, crash)
		s.countedAt = now
	}
	return len(s.crashes)
}

// block blocks a part for at least a duration.
func (l *poisonList) block(now Instant, key ServicePart, d time.Duration) {
	if l.blocked == nil {
		l.blocked = map[ServicePart]*blockedPart{}
	}
	b, ok := l.blocked[key]
	if !ok {
		if len(l.blocked) >= maxBlockedParts {
			return
		}
		b = &blockedPart{duration: minBlock, blockedAt: now}
		l.blocked[key] = b
	}
	if until := now.Add(d); until > b.until {
		b.until, b.blockedAt = until, now
	}
	delete(l.suspects, key)
	delete(l.sound, key)
}

// extend blocks a part for longer if its trial has ended an engine. Requests that were on
// their way when it was blocked extend nothing.
func (l *poisonList) extend(now Instant, key ServicePart, b *blockedPart) {
	if b.trialAt == 0 {
		return
	}
	b.trialAt = 0
	b.duration = min(2*b.duration, maxBlock)
	l.block(now, key, b.duration)
}

// observeSound records a sound answer on a prompt, which began at the time begun, and returns
// the parts that were suspect or blocked until then. An answer that had begun before a part
// was blocked says nothing about that part.
func (l *poisonList) observeSound(now, begun Instant, service ServiceID, parts []PromptPart) []ServicePart {
	var cleared []ServicePart
	for _, p := range parts {
		key := ServicePart{service, p}
		_, suspect := l.suspects[key]
		b, blocked := l.blocked[key]
		if blocked && begun <= b.blockedAt {
			continue
		}
		if suspect || blocked {
			cleared = append(cleared, key)
		}
		delete(l.suspects, key)
		delete(l.blocked, key)
		if l.sound == nil || len(l.sound) >= maxSoundParts && l.sound[key] == 0 {
			l.sound = map[ServicePart]Instant{}
		}
		l.sound[key] = now
	}
	return cleared
}

// blocks returns for how long requests with the given parts are rejected, and the part; zero
// if they are not. A part whose time has passed is due for a trial; it is rejected unless
// mayTry allows this node to send one.
func (l *poisonList) blocks(now Instant, service ServiceID, parts []PromptPart, mayTry func(ServicePart) bool) (time.Duration, PromptPart) {
	for _, p := range parts {
		key := ServicePart{service, p}
		b, ok := l.blocked[key]
		switch {
		case !ok:
			continue
		case now < b.until:
			return b.until.Sub(now), p
		case now.Sub(b.until) > forgetBlockAfter:
			delete(l.blocked, key)
		case b.trialAt != 0 && now.Sub(b.trialAt) < minBlock || !mayTry(key):
			return minBlock, p
		default:
			b.trialAt = now
		}
	}
	return 0, ""
}
