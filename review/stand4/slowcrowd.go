package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of slow clients, crowdBody the size of the body of each request, and crowdPause the time between two bytes.
	crowdSize, crowdBody, crowdPause = 1200, 4000, 400 * time.Millisecond
	// crowdReturn is the time after which a slow client whose connection has ended opens another one.
	crowdReturn = 500 * time.Millisecond
	// crowdTime is how long the crowd lasts, and calmTime the time before it.
	crowdTime, calmTime = 30 * time.Second, 5 * time.Second
	// contactTime is contact_ms of the deployment, and tryingClients the number of clients that try at least.
	contactTime, tryingClients = 3 * time.Second, 10
	// tryInterval is the time between two tries of an ordinary client, and tryTimeout the time limit of each.
	tryInterval, tryTimeout = 200 * time.Millisecond, 2 * time.Second
)

// dialFrom opens a connection from a loopback address.
func dialFrom(from, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	return dialer.DialContext(context.Background(), "tcp4", address)
}

// slowCrowd has a crowd of clients send bodies of a legal size slowly, beside ordinary clients.
func slowCrowd(w *world, trouble bool) verdict {
	w.putConfig(1, map[string][]string{"first": {"key-1"}, "second": {"key-2"}})
	if err := w.addReplicas(4, "ticket-app", "v1", 6, 0, 10*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(1, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	r, began := w.routers[0], time.Now()
	end := began.Add(calmTime + crowdTime)
	var open, closed, served, failed, lastServed, longest atomic.Int64
	var group sync.WaitGroup
	if trouble {
		for n := range crowdSize {
			group.Go(func() {
				time.Sleep(calmTime + time.Duration(n)*time.Millisecond)
				for k := 0; time.Now().Before(end); k++ {
					sendSlowly(r, fmt.Sprintf("slow-%d-%d", n, k), end, &open)
					closed.Add(1)
					time.Sleep(crowdReturn)
				}
			})
		}
	}
	lastServed.Store(int64(time.Since(began)))
	for n := range tryingClients {
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if tryOrdinary(r, fmt.Sprintf("ordinary-%d-%d", n, k)) {
					served.Add(1)
					lastServed.Store(int64(time.Since(began)))
				} else {
					failed.Add(1)
				}
				time.Sleep(tryInterval)
			}
		})
	}
	ready := 0
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		gap := time.Since(began) - time.Duration(lastServed.Load())
		isReady := r.isReady()
		if !isReady {
			gap = 0 // a router that says that it is not ready need not be reached
			lastServed.Store(int64(time.Since(began)))
		} else {
			ready++
		}
		longest.Store(max(longest.Load(), int64(gap)))
		w.record.add("ready %t; slow: %d connections open, %d ended; ordinary: %d served, %d not; %.1f s since the last one served", isReady, open.Load(), closed.Load(), served.Load(), failed.Load(), gap.Seconds())
	}
	group.Wait()
	w.record.add("longest time without a served ordinary request, while %d clients tried and the router said that it was ready: %.1f s; contact_ms %d", tryingClients, time.Duration(longest.Load()).Seconds(), contactTime.Milliseconds())
	return verdict{broken: time.Duration(longest.Load()) > contactTime}
}

// sendSlowly sends a request whose body comes byte by byte, until the connection ends.
func sendSlowly(r *router, id string, end time.Time, open *atomic.Int64) {
	conn, err := dialFrom("127.0.0.1", r.front)
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	open.Add(1)
	defer open.Add(-1)
	if _, err := fmt.Fprintf(conn, "POST /ticket/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nApi-Key: key-1\r\nContent-Length: %d\r\n\r\n", id, crowdBody); err != nil {
		return
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = io.Copy(io.Discard, conn)
	}()
	for time.Now().Before(end) {
		select {
		case <-answered:
			return
		case <-time.After(crowdPause):
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
	}
}

// tryOrdinary sends an ordinary request on a new connection and reports whether it was served.
func tryOrdinary(r *router, id string) bool {
	conn, err := dialFrom("127.0.0.2", r.front)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(tryTimeout))
	if _, err := io.WriteString(conn, head("GET", "/gate/x", id, "key-2", tryTimeout, "")); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
