package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is that of a machine's processes, memory_mb taken for MiB.
	memoryLimit = memoryMB << 20
	// hostilePerMachine clients send one request after the other, each with a prompt of hostileParts parts, within max_header_bytes.
	hostilePerMachine, hostileParts = 12, 1550
	hostilePause                    = 100 * time.Millisecond
	hostileTime                     = 90 * time.Second
	endsOfFault                     = 3
)

// resident returns the resident memory of the machine's process.
func (m *machine) resident() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(string(rest)), "kB")), 10, 64)
			if err != nil {
				return 0
			}
			return n << 10
		}
	}
	return 0
}

// playManyParts plays clients whose prompts have very many short parts, within the limit of a head. The platform kills a process that
// exceeds its memory and starts it again. The rule is Fault: on a tenth of the machines in use, two at least, processes end by themselves three times.
func playManyParts(w *world, trouble bool) (bool, error) {
	open := route("open", publicPath, "streaming", streamTimeout, 1, false)
	open["public"] = true
	w.configure([]string{tenantKey}, open)
	for range 8 {
		if _, err := w.addReplica(func(r *replica) { r.eventTime, r.events = 5*time.Millisecond, 3 }); err != nil {
			return false, err
		}
	}
	machines := []*machine{w.addMachine("pumphouse"), w.addMachine("headframe")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	w.quiet = true
	end := make(chan struct{})
	var group sync.WaitGroup
	if trouble {
		for i, m := range machines {
			for n := range hostilePerMachine {
				group.Go(func() { sendManyParts(w, m, uint64(i*hostilePerMachine+n), end) })
			}
		}
	}
	ends := make([]int, len(machines))
	most := make([]int64, len(machines))
	began := time.Now()
	for i := 0; time.Since(began) < hostileTime; i++ {
		time.Sleep(50 * time.Millisecond)
		for n, m := range machines {
			memory := m.resident()
			most[n] = max(most[n], memory)
			if i%40 == 0 {
				w.logf("%s: %d MiB", m.name, memory>>20)
			}
			if memory <= memoryLimit {
				continue
			}
			ends[n]++
			w.logf("%s has %d MiB of %d: the platform kills it", m.name, memory>>20, memoryMB)
			w.kill(m)
			if err := w.start(m, false); err != nil {
				return false, err
			}
		}
	}
	close(end)
	group.Wait()
	w.logf("most memory: %d and %d MiB; the processes ended %d and %d times", most[0]>>20, most[1]>>20, ends[0], ends[1])
	return ends[0] >= endsOfFault && ends[1] >= endsOfFault, nil
}

// sendManyParts sends requests one after the other.
func sendManyParts(w *world, m *machine, seed uint64, end <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(hostilePause):
		}
		var parts strings.Builder
		for range hostileParts {
			fmt.Fprintf(&parts, "%06x:1,", rng.IntN(1<<24))
		}
		fmt.Fprintf(&parts, "%06x:1", rng.IntN(1<<24))
		w.send(m, clientRequest{id: fmt.Sprintf("many-%d-%d", seed, n), path: publicPath + "x", body: "x", parts: parts.String(), timeout: 5 * time.Second})
	}
}
