package policy

import "slices"

// maxTrackedClasses is the number of classes above which idle ones are evicted.
const maxTrackedClasses = 256

// trackedClass is the guard's state of one request class.
type trackedClass struct {
	class         uint32
	queued        int    // requests in the queue
	skippedGrants uint32 // grants to other classes while it was queued
}

// StarvationGuard reserves a bounded share of the grants for request classes that
// would otherwise starve, even if higher tiers fill all slots. Queued requests are
// registered with Enqueue and Dequeue, grants with RecordGrant.
//
// Invariant: at most one in minGap+1 grants is made by the guard. A class that is
// queued throughout and can be served gets a slot within
// (classes+1)*(minGap+1) grants, not counting grants made while the guard holds
// all its slots. The guard only selects who gets a free slot: it never refuses,
// displaces or preempts a request.
type StarvationGuard struct {
	minGap           uint32
	grantsSinceGuard uint32 // grants since the last grant by the guard
	classes          []trackedClass
}

// NewStarvationGuard returns a guard that makes at most one grant after every minGap
// grants in priority order.
func NewStarvationGuard(minGap uint32) *StarvationGuard { return &StarvationGuard{minGap: minGap} }

// Enqueue counts a queued request of a class.
func (g *StarvationGuard) Enqueue(class uint32) {
	i := g.find(class)
	if i < 0 {
		g.evictIdle()
		g.classes = append(g.classes, trackedClass{class: class})
		i = len(g.classes) - 1
	}
	g.classes[i].queued++
}

// Dequeue removes a queued request of a class from the count.
func (g *StarvationGuard) Dequeue(class uint32) {
	if i := g.find(class); i >= 0 && g.classes[i].queued > 0 {
		g.classes[i].queued--
	}
}

// NextStarved returns the servable class that has been passed over for the most
// grants, or false if no class is starved or the guard may not grant yet.
func (g *StarvationGuard) NextStarved(servable func(class uint32) bool) (uint32, bool) {
	if g.grantsSinceGuard < g.minGap {
		return 0, false
	}
	best := -1
	for i, c := range g.classes {
		if c.queued == 0 || c.skippedGrants < g.minGap {
			continue
		}
		better := best < 0 || c.skippedGrants > g.classes[best].skippedGrants
		if better && servable(c.class) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	return g.classes[best].class, true
}

// RecordGrant records a grant to a class, made by the guard or in priority order.
func (g *StarvationGuard) RecordGrant(class uint32, byGuard bool) {
	g.grantsSinceGuard++
	if byGuard {
		g.grantsSinceGuard = 0
	}
	for i := range g.classes {
		c := &g.classes[i]
		switch {
		case c.class == class:
			c.skippedGrants = 0
		case c.queued > 0:
			c.skippedGrants++
		}
	}
}

// find returns the index of a class, or -1.
func (g *StarvationGuard) find(class uint32) int {
	return slices.IndexFunc(g.classes, func(c trackedClass) bool { return c.class == class })
}

// evictIdle removes the oldest class without queued requests if the guard is full.
func (g *StarvationGuard) evictIdle() {
	if len(g.classes) < maxTrackedClasses {
		return
	}
	i := slices.IndexFunc(g.classes, func(c trackedClass) bool { return c.queued == 0 })
	if i >= 0 {
		g.classes = slices.Delete(g.classes, i, i+1)
	}
}
