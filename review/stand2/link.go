package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is a proxy between the machines and the store.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a channel through a link. A silent one takes what comes and passes nothing on, not even its end.
type pair struct {
	client, server net.Conn
	silent         atomic.Bool
}

// startLink starts a link.
func startLink(listen, target string) (*link, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, pairs: make(map[*pair]bool)}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", l.target)
		if err != nil {
			closeQuietly(client)
			continue
		}
		p := &pair{client: client, server: server}
		l.mu.Lock()
		l.pairs[p] = true
		l.mu.Unlock()
		go p.pass(client, server)
		go p.pass(server, client)
	}
}

// pass copies one direction until an end closes.
func (p *pair) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		silent := p.silent.Load()
		if n > 0 && !silent {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		if !silent {
			p.close()
		}
		return
	}
}

func (p *pair) close() {
	closeQuietly(p.client)
	closeQuietly(p.server)
}

// silence makes the channels that are open now silent for good. New ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent.Store(true)
	}
}

// close ends the link and its channels.
func (l *link) close() {
	closeQuietly(l.listener)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}
