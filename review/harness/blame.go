package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case: a prompt part that crashes replicas, in a request every few seconds, and the end of all
// routers at the same moment.
const (
	crashingPart   = "bad0bad0"
	poisonInterval = time.Second
	blameKillAt    = 18 * time.Second
	blameLength    = 42 * time.Second
	crashDown      = 2 * time.Second
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// firstCrashes is the number of crashes after which requests with the part may reach replicas no more, but for
	// maxPoisonRuns of them.
	firstCrashes, maxPoisonRuns = 5, 3
	soundPerSecond              = 60
)

// poisonSpells are the times in which requests with the part come.
var poisonSpells = [...]struct{ from, to time.Duration }{{2 * time.Second, 14 * time.Second}, {23 * time.Second, 40 * time.Second}}

// poisonRun is a request with the crashing part that reached a replica.
type poisonRun struct {
	id, replica string
	at          time.Time
}

// poisoned records that a request with the crashing part has reached a replica.
func (w *world) poisoned(id, replica string) {
	w.record("request %s with the crashing part reaches %s", id, replica)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashs = append(w.crashs, poisonRun{id, replica, time.Now()})
}

// poisonRuns returns the requests with the crashing part that have reached replicas.
func (w *world) poisonRuns() []poisonRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]poisonRun(nil), w.crashs...)
}

// playBlame sends requests with a prompt part that crashes replicas beside sound ones. The disruption is the end of all
// routers at the same moment.
func playBlame(ctx context.Context, w *world, trouble bool) (string, error) {
	if err := w.configure(config(1, "key-kept")); err != nil {
		return "", err
	}
	replicas, err := w.startReplicas(ctx, "model", 0, versionReplicas, "v1", streamEvents, eventGap)
	if err != nil {
		return "", err
	}
	for _, r := range replicas {
		r.crashPart, r.crashDown = crashingPart, crashDown
	}
	if err := w.startRouters(ctx, versionRouters); err != nil {
		return "", err
	}
	pause(ctx, 4*time.Second)
	begun := time.Now()
	if trouble {
		time.AfterFunc(blameKillAt, func() {
			for _, r := range w.routers {
				r.kill("all are killed at the same moment")
			}
		})
	}
	var group sync.WaitGroup
	group.Go(func() { sendPoison(ctx, w, begun) })
	for n := 0; time.Since(begun) < blameLength; n++ {
		group.Go(func() { playStream(ctx, w, n) })
		if !pause(ctx, time.Second/soundPerSecond) {
			return "", ctx.Err()
		}
	}
	group.Wait()
	return judgePoison(w, replicas)
}

// sendPoison sends requests with the crashing part in poisonSpells, each at another router.
func sendPoison(ctx context.Context, w *world, begun time.Time) {
	n := 0
	for _, spell := range poisonSpells {
		for at := spell.from; at < spell.to; at += poisonInterval {
			if !pause(ctx, time.Until(begun.Add(at))) {
				return
			}
			headers := streamHeaders(n)
			headers["X-Prompt-Prefix"] = strings.Replace(headers["X-Prompt-Prefix"], ",", ","+crashingPart+":100,", 1)
			q := request{id: fmt.Sprintf("p%03d", n), path: "/stream/2f", key: "key-kept", method: "POST", timeout: 8 * time.Second, body: []byte("{}"), headers: headers}
			a := send(ctx, w.routers[n%len(w.routers)].front(), q)
			w.record("answer %s status %d complete %v err %v", q.id, a.status, a.complete, a.err)
			n++
		}
	}
}

// judgePoison counts the requests with the crashing part that reached replicas later than contact_ms after the fifth
// crash, from routers that had been running for contact_ms.
func judgePoison(w *world, replicas []*replica) (string, error) {
	runs, counted := w.poisonRuns(), 0
	if len(runs) < firstCrashes {
		return "", fmt.Errorf("only %d crashes", len(runs))
	}
	inTouch := time.Time{}
	for _, r := range w.routers {
		if at := r.startedAt().Add(contactTime); at.After(inTouch) {
			inTouch = at
		}
	}
	from := runs[firstCrashes-1].at.Add(contactTime)
	for _, run := range runs[firstCrashes:] {
		if run.at.After(from) && run.at.After(inTouch) {
			counted++
			w.record("counted: %s at %s", run.id, run.replica)
		}
	}
	lost := 0
	for _, r := range replicas {
		lost += r.lost
	}
	w.record("crashes %d, counted %d, requests that ran at replicas as they crashed %d", len(runs), counted, lost)
	fmt.Printf("crashes %d, later than contact_ms after the fifth from routers in touch %d, requests that ran at replicas as they crashed %d\n", len(runs), counted, lost)
	if counted > maxPoisonRuns {
		return fmt.Sprintf("BUDGET: %d requests with a part that crashes replicas reached replicas later than contact_ms after the fifth crash; at most %d may", counted, maxPoisonRuns), nil
	}
	return "", nil
}
