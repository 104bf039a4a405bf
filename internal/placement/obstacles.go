package placement

import (
	"fmt"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Obstacle is why an endpoint can't start a request in time.
type Obstacle uint8

// The obstacles, in the order in which an endpoint is examined.
const (
	// ObstacleNone means that the endpoint can start the request.
	ObstacleNone Obstacle = iota
	// ObstacleUnavailable means that the endpoint drains, that the request was sent
	// there before, or that it is avoided because of its failures or its silence.
	ObstacleUnavailable
	// ObstacleLeaving means that the endpoint has said that it leaves.
	ObstacleLeaving
	// ObstacleVersion means that the request takes up a stream that began at another version of
	// the endpoint's software.
	ObstacleVersion
	// ObstaclePause means that the endpoint has refused a request and wants no other one for a time.
	ObstaclePause
	// ObstacleLimit means that the endpoint has got all requests of this process that the
	// limit which it names allows.
	ObstacleLimit
	// ObstacleSlots means that all slots are in use.
	ObstacleSlots
	// ObstacleMemory means that the engine's key-value cache has no room.
	ObstacleMemory
	// ObstacleLongPrompt means that a long prompt would pause streams, that the
	// engine prefills too much already, or that the request yields to more urgent ones that get no answer.
	ObstacleLongPrompt
	// ObstaclePool means that the engine is in the decode pool and the request is not for it.
	ObstaclePool
	// ObstacleAffinity means that another engine has the session's shared parts.
	ObstacleAffinity
	// ObstacleBacklog means that the prompts ahead of the request take too long.
	ObstacleBacklog
	// ObstacleDeadline means that the answer would end after the deadline.
	ObstacleDeadline
	obstacleCount
)

// String returns the obstacle's name in logs.
func (o Obstacle) String() string {
	return [...]string{"none", "unavailable", "leaving", "version", "pause", "limit", "slots", "memory", "long_prompt", "pool", "affinity", "backlog", "deadline"}[o]
}

// Obstacles is the number of a service's endpoints by the first obstacle that each has
// for a request.
type Obstacles [obstacleCount]int

// String lists the obstacles as NAME:ENDPOINTS, separated by commas.
func (o Obstacles) String() string {
	var names []string
	for obstacle, n := range o {
		if n > 0 {
			names = append(names, fmt.Sprintf("%s:%d", Obstacle(obstacle), n))
		}
	}
	return strings.Join(names, ",")
}

// load reports whether the load of some endpoint is what keeps it from the request.
func (o Obstacles) load() bool {
	return o[ObstacleSlots]+o[ObstacleMemory]+o[ObstacleLongPrompt]+o[ObstacleBacklog]+o[ObstacleDeadline] > 0
}

// Obstacles returns what keeps the endpoints of a service from a request. It changes
// nothing but the averages that Pick updates too.
func (t *Table) Obstacles(now domain.Instant, q Query) Obstacles {
	var o Obstacles
	svc := t.services[q.Service]
	if svc == nil {
		return o
	}
	usable := t.usable(now, svc, q)
	for _, s := range svc.endpoints {
		switch {
		case s.leaving:
			o[ObstacleLeaving]++
		case !s.atVersion(q.Version):
			o[ObstacleVersion]++
		case s.pause.active(now):
			o[ObstaclePause]++
		case !t.withinLimit(now, s):
			o[ObstacleLimit]++
		}
	}
	o[ObstacleUnavailable] = len(svc.endpoints) - len(usable) - o[ObstacleLeaving] - o[ObstacleVersion] - o[ObstaclePause] - o[ObstacleLimit]
	if len(usable) == 0 {
		return o
	}
	if len(q.Parts) == 0 {
		for _, s := range usable {
			if s.admitsPlain(now) {
				o[ObstacleNone]++
			} else {
				o[ObstacleSlots]++
			}
		}
		return o
	}
	t.examine(now, svc, usable, usable, q, t.computeLayout(now, svc, usable, q), func(_ *endpointState, _ candidate, found Obstacle) { o[found]++ })
	return o
}
