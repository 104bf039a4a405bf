package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

const (
	streamPath    = "/draft/"
	streamTimeout = 5000
	// groupInterval is the time between two groups of sound requests, and groupSize the requests of one.
	groupInterval, groupSize = 5 * time.Second, 5
	soundGroups              = 5
	// minSound is the least number of requests in and outside of the disturbance by which the rule judges.
	minSound = 20
)

// soundTraffic is sound requests that share parts of their prompts.
type soundTraffic struct {
	w        *world
	machines []*machine
	shared   string // entries of the shared parts
	mu       sync.Mutex
	answers  []clientAnswer
	sent     int
	group    sync.WaitGroup
}

// sendGroup sends a group of sound requests, one each 100 ms.
func (s *soundTraffic) sendGroup() {
	for range groupSize {
		n := s.sent
		s.sent++
		s.group.Go(func() {
			answer := s.w.send(s.machines[n%len(s.machines)], clientRequest{
				id: fmt.Sprintf("sound-%d", n), path: streamPath + fmt.Sprintf("s%d", n), key: tenantKey, body: fmt.Sprintf("sound %d", n),
				parts: fmt.Sprintf("%s,a%x:300,b%04x:100", s.shared, n%7, n), timeout: streamTimeout * time.Millisecond,
			})
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answers = append(s.answers, answer)
		})
		time.Sleep(100 * time.Millisecond)
	}
}

// begun returns how many requests sent in a period there are, and how many of them begin.
func (s *soundTraffic) begun(from, to time.Time) (begun, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.answers {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		all++
		if a.events > 0 {
			begun++
		}
	}
	return begun, all
}

// crashingTraffic sends requests with the part that crashes replicas: three 700 ms apart, then one each second until the end.
func crashingTraffic(w *world, machines []*machine, shared string, end <-chan struct{}) {
	for n := 0; ; n++ {
		go w.send(machines[n%len(machines)], clientRequest{
			id: fmt.Sprintf("crashing-%d", n), path: streamPath + fmt.Sprintf("c%d", n), key: tenantKey, body: fmt.Sprintf("crashing %d", n),
			parts: fmt.Sprintf("%s,c0de:300,d%04x:100", shared, n), timeout: streamTimeout * time.Millisecond,
		})
		pause := 700 * time.Millisecond
		if n >= 2 {
			pause = time.Second
		}
		select {
		case <-end:
			return
		case <-time.After(pause):
		}
	}
}

// playPromptPart plays a prompt part that crashes replicas, beside sound requests that share the other parts. The rule is LOST: from twice
// contact_ms after the last crash, sound requests begin less than half as often as before.
func playPromptPart(w *world, trouble bool, machines []*machine, shared string) (bool, error) {
	w.configure([]string{tenantKey}, route("draft", streamPath, "streaming", streamTimeout, 1, false))
	for range 8 {
		if _, err := w.addReplica(func(r *replica) {
			if trouble {
				r.crashPart = "c0de"
			}
		}); err != nil {
			return false, err
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	sound := &soundTraffic{w: w, machines: machines, shared: shared}
	began := time.Now()
	for range soundGroups {
		sound.sendGroup()
		time.Sleep(groupInterval - groupSize*100*time.Millisecond)
	}
	calmEnd := time.Now()
	// The last group is over for groupInterval now.
	end := make(chan struct{})
	go crashingTraffic(w, machines, shared, end)
	time.Sleep(3 * time.Second)
	for range soundGroups + 3 {
		sound.sendGroup()
		time.Sleep(groupInterval - groupSize*100*time.Millisecond)
	}
	close(end)
	sound.group.Wait()
	crashing := w.arrivalsOf(func(a arrival) bool { return strings.HasPrefix(a.id, "crashing-") })
	crashes := 0
	last := calmEnd
	if trouble {
		crashes = len(crashing)
		for _, a := range crashing[:min(crashes, 5)] {
			last = a.at
		}
	}
	begunBefore, before := sound.begun(began, calmEnd)
	begunAfter, after := sound.begun(last.Add(2*contactTime), time.Now())
	w.keepLogs("endpoints crash under", "request blamed", "blame probed", "started")
	w.logf("crashes: %d; sound requests that began at the first attempt: %d of %d before, %d of %d later than 2 x contact_ms after the crashes", crashes, begunBefore, before, begunAfter, after)
	if before < minSound || after < minSound || begunBefore == 0 || trouble && crashes == 0 {
		return false, fmt.Errorf("too few requests: %d before, %d after, %d crashes", before, after, crashes)
	}
	return float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before), nil
}

// playTwoSharedParts plays two machines with clients at both. Sound requests share two parts with those that crash replicas.
func playTwoSharedParts(w *world, trouble bool) (bool, error) {
	machines := []*machine{w.addMachine("pumphouse"), w.addMachine("headframe")}
	return playPromptPart(w, trouble, machines, "5171:800,5272:400")
}

// playIdleProber plays two machines of which one gets no requests, as no client is in its zone. Sound requests share one part with those that
// crash replicas. Which of the machines tests a wrong blame depends on the part; half of all parts are tested by the other one.
func playIdleProber(w *world, trouble bool) (bool, error) {
	busy, idle := w.addMachine("pumphouse"), w.addMachine("headframe")
	part := uint64(0x5171)
	for ; score(busy, part) > score(idle, part); part++ {
	}
	return playPromptPart(w, trouble, []*machine{busy}, fmt.Sprintf("%x:800", part))
}

// score is by how much a machine is chosen to test the blame of a part.
func score(m *machine, part uint64) uint64 {
	return policy.Mix64(xxhash.Sum64String(m.ip) ^ policy.Mix64(part))
}

// playFirstEvent plays a request that crashes each replica that has begun to run it: its first token is out. It comes again each second. The rule is
// BUDGET: later than contact_ms after it has crashed the third replica, it reaches replicas in more than three retries.
func playFirstEvent(w *world, trouble bool) (bool, error) {
	const target = streamPath + "again"
	w.configure([]string{tenantKey}, route("draft", streamPath, "streaming", streamTimeout, 1, false))
	for range 10 {
		if _, err := w.addReplica(func(r *replica) {
			if trouble {
				r.crashTarget = target
			}
		}); err != nil {
			return false, err
		}
	}
	machines := []*machine{w.addMachine("pumphouse"), w.addMachine("headframe")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	end := make(chan struct{})
	go func() {
		sound := &soundTraffic{w: w, machines: machines, shared: "5171:800"}
		for {
			select {
			case <-end:
				return
			default:
				sound.sendGroup()
			}
		}
	}()
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	for n := range 30 {
		group.Go(func() {
			w.send(machines[n%len(machines)], clientRequest{
				id: fmt.Sprintf("again-%d", n), path: target, key: tenantKey, body: "the same body", parts: "5171:800,e1:200", timeout: streamTimeout * time.Millisecond,
			})
		})
		time.Sleep(time.Second)
	}
	close(end)
	group.Wait()
	reached := w.arrivalsOf(func(a arrival) bool { return a.target == target })
	w.keepLogs("endpoints crash under", "request blamed", "blame probed", "endpoint lost")
	if !trouble {
		w.logf("the request was sent 30 times and ran %d times", len(reached))
		return false, nil
	}
	if len(reached) < 3 {
		return false, fmt.Errorf("the request ran %d times only", len(reached))
	}
	late := 0
	for _, a := range reached[3:] {
		if a.at.Sub(reached[2].at) > contactTime {
			late++
		}
	}
	w.logf("the request was sent 30 times and crashed %d replicas; %d of these runs came later than contact_ms after the third crash, at most 3 may", len(reached), late)
	return late > 3, nil
}
