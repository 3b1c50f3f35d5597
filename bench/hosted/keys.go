package hosted

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
)

const (
	// keyMark begins each key, so that one in a log is found.
	keyMark = "sk-key-"
	// keyedTenants is the number of tenants, and keysPerTenant that of the keys of each.
	keyedTenants, keysPerTenant = 4, 3
	// rotateShare is the share of versions of the desired state that replace the oldest key of a
	// tenant.
	rotateShare = 0.6
	// The shares of callers that send a key that was removed, one that never existed, and none.
	removedShare, unknownShare, keylessShare = 0.05, 0.03, 0.03
	// keySettle is how long after the confirmation of a version callers begin to use its keys.
	keySettle = stateBound + 500*time.Millisecond
	// cutKeyTime is how long a node is cut off while keys change.
	cutKeyTime = 7 * time.Second
)

// keyUse is what key a caller sends.
type keyUse int

const (
	validKey keyUse = iota
	removedKey
	unknownKey
	noKey
)

// tenantKey is a key of a tenant. addedAt is when the version that has added it was confirmed.
type tenantKey struct {
	text    string
	addedAt time.Time
}

// keyVersion is a version of the desired state with the tenants of its keys. It was written between
// two times; confirmedAt is zero until then.
type keyVersion struct {
	writtenAt, confirmedAt time.Time
	tenants                map[string]string
}

// keyRing holds the keys of all versions of the desired state. A nil one is that of a deployment
// without tenants.
type keyRing struct {
	mu       sync.Mutex
	rng      *rand.Rand
	last     int
	current  [keyedTenants][]tenantKey
	removed  []string
	versions []*keyVersion
}

func newKeyRing(seed uint64) *keyRing {
	k := &keyRing{rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range k.current {
		for range keysPerTenant {
			k.current[i] = append(k.current[i], k.newKey())
		}
	}
	return k
}

func (k *keyRing) newKey() tenantKey {
	k.last++
	return tenantKey{text: fmt.Sprintf(keyMark+"%d-%x", k.last, k.rng.Uint64())}
}

func tenantName(i int) string { return fmt.Sprintf("tenant%d", i) }

// next returns the tenants of the next version, and a function to call once it is confirmed.
func (k *keyRing) next() (tenants []hostedsite.Tenant, confirmed func()) {
	if k == nil {
		return nil, func() {}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.versions) > 0 && k.rng.Float64() < rotateShare {
		i := k.rng.IntN(keyedTenants)
		k.removed = append(k.removed, k.current[i][0].text)
		k.current[i] = append(k.current[i][1:], k.newKey())
	}
	v := &keyVersion{writtenAt: time.Now(), tenants: map[string]string{}}
	for i, keys := range k.current {
		// One tenant has the rank of the route, and the others have ranks of their own.
		t := hostedsite.Tenant{Name: tenantName(i), Priority: i - 1}
		for _, key := range keys {
			t.Keys = append(t.Keys, key.text)
			v.tenants[key.text] = t.Name
		}
		tenants = append(tenants, t)
	}
	k.versions = append(k.versions, v)
	return tenants, func() { k.confirm(v) }
}

func (k *keyRing) confirm(v *keyVersion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v.confirmedAt = time.Now()
	for i := range k.current {
		for j := range k.current[i] {
			if key := &k.current[i][j]; key.addedAt.IsZero() {
				key.addedAt = v.confirmedAt
			}
		}
	}
}

// key returns the key for an attempt: of a tenant the newest that all nodes have to know.
func (k *keyRing) key(use keyUse, rng *rand.Rand) string {
	if k == nil {
		return keyMark + "of-no-tenant"
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := k.current[rng.IntN(keyedTenants)]
	switch {
	case use == noKey:
		return ""
	case use == removedKey && len(k.removed) > 0:
		return k.removed[rng.IntN(len(k.removed))]
	case use == validKey:
		for i := len(keys) - 1; i > 0; i-- {
			if !keys[i].addedAt.IsZero() && time.Since(keys[i].addedAt) > keySettle {
				return keys[i].text
			}
		}
		return keys[0].text
	default:
		return keyMark + "unknown"
	}
}

// drawKeyUse draws what key a caller sends with its attempts.
func drawKeyUse(rng *rand.Rand) keyUse {
	switch draw := rng.Float64(); {
	case draw < removedShare:
		return removedKey
	case draw < removedShare+unknownShare:
		return unknownKey
	case draw < removedShare+unknownShare+keylessShare:
		return noKey
	default:
		return validKey
	}
}

// tenantsOf returns the tenants that a key may have for an attempt, by the versions that may be in
// force at a node that handles it between its sending and now: those before a version that was
// confirmed more than the bound before are not. An empty name stands for no tenant.
func (k *keyRing) tenantsOf(key string, sent, now time.Time) map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := map[string]bool{}
	for i, v := range k.versions {
		if v.writtenAt.After(now) {
			continue
		}
		if i+1 < len(k.versions) {
			if next := k.versions[i+1].confirmedAt; !next.IsZero() && sent.After(next.Add(stateBound)) {
				continue
			}
		}
		names[v.tenants[key]] = true
	}
	return names
}

// recordArrival records a request that has reached a worker, and checks its tenant.
func (d *deployment) recordArrival(a hostedworker.Arrival) {
	d.limits.recordArrival(a.Worker)
	j := d.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	attempt := j.attempts[a.Attempt]
	if attempt == nil || j.harmed(attempt.node, attempt.sent, time.Now(), nodeFormer) {
		return
	}
	if text := d.checkTenant(attempt, a); text != "" {
		j.violations = append(j.violations, fmt.Sprintf("KEY: %s at %s: %s", a.Attempt, a.Worker, text))
	}
}

// checkTenant returns what is wrong with the key and the tenant of a request at a worker. The caller
// holds the judge's lock.
func (d *deployment) checkTenant(attempt *attempt, a hostedworker.Arrival) string {
	if d.keys == nil {
		if a.Key != attempt.key || a.Tenant != hostedsite.ForgedTenant {
			return fmt.Sprintf("headers changed without tenants: key %q, tenant %q", a.Key, a.Tenant)
		}
		return ""
	}
	now := time.Now()
	d.judge.counts["keys checked at workers"]++
	names := d.keys.tenantsOf(attempt.key, attempt.sent, now)
	if attempt.public {
		names[""] = true
	}
	switch {
	case a.Key != "":
		return "the key was passed on"
	case a.Tenant == "" && !attempt.public:
		return "it has no tenant"
	case names[a.Tenant] || d.judge.storeLost(attempt.sent, now):
		return ""
	default:
		return fmt.Sprintf("it is sent as %q with key %q, which is one of %v", a.Tenant, attempt.key, names)
	}
}

// storeLost reports whether nodes may lack a version that was confirmed: the operators could write it
// while no node could read it, or the store has returned from a copy without it.
func (j *judge) storeLost(sent, now time.Time) bool {
	return j.harmed(theStore, sent.Add(-contactTime), now, storeHarmed)
}

// checkRejectedKey checks an answer of 401, which says that no version that may be in force has the
// key.
func (d *deployment) checkRejectedKey(attemptID string) {
	j := d.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[attemptID]
	j.counts["keys rejected"]++
	if now := time.Now(); d.keys == nil || a.public || !d.keys.tenantsOf(a.key, a.sent, now)[""] && !j.storeLost(a.sent, now) {
		j.violations = append(j.violations, fmt.Sprintf("KEY: %s to %s was answered with 401 for key %q", a.id, a.node, a.key))
	}
}

// changeKeysBesideCutNode changes keys while a node is cut off from the store and all other nodes, for
// longer than the bound.
func (d *deployment) changeKeysBesideCutNode() {
	heal := d.cutOff(d.rng.IntN(len(d.nodes)))
	go func() {
		select {
		case <-time.After(cutKeyTime):
		case <-d.done:
		}
		heal()
	}()
	d.changeStateInSeries()
}
