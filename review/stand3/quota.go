package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// A core's share is a quota on some days: the process runs until it has used its part of a tenth of a second, and then not at all for the
// rest of it. The stand-in of the platform does that by stop and continue signals.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaLook   = time.Millisecond
	// cpuShare is cpu_share of a front of phmswa-tours.
	cpuShare = 0.304
)

// used returns the processor time of the process so far.
func (r *router) used() time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	var sum time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var running int64
		if _, err := fmt.Sscan(strings.TrimSpace(string(data)), &running); err == nil {
			sum += time.Duration(running)
		}
	}
	return sum
}

// keepQuota keeps the process within its share of one core until it ends. What it has used too much is taken from the next periods, and
// what it leaves is lost.
func (r *router) keepQuota() {
	quota := time.Duration(float64(quotaPeriod) * cpuShare)
	last, balance, stopped := r.used(), quota, false
	next := time.Now().Add(quotaPeriod)
	for r.running() {
		time.Sleep(quotaLook)
		now := r.used()
		balance -= max(now-last, 0)
		last = max(now, last)
		for !time.Now().Before(next) {
			next = next.Add(quotaPeriod)
			balance = min(balance+quota, quota)
		}
		if (balance <= 0) == stopped {
			continue
		}
		stopped = !stopped
		signal := syscall.SIGCONT
		if stopped {
			signal = syscall.SIGSTOP
		}
		_ = r.command.Process.Signal(signal)
	}
}
