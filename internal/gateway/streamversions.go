package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/peers"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
)

const (
	// streamAnswerTimeout is how long peers have to answer at which version a stream began.
	streamAnswerTimeout = 150 * time.Millisecond
	// historyAskers is how many peers are asked at a time which versions a service had before this process started, and
	// minHistoryInterval the least time between two times. It grows with the time for which nobody has known it.
	historyAskers, minHistoryInterval = 4, time.Second
	// streamLifetimeMargin is added to the time limit of a stream's caller, for the ways
	// between caller and gateways.
	streamLifetimeMargin = 2 * time.Second
)

// streamQuestion is a question to peers at which version a stream began. done is closed when
// no further answer matters.
type streamQuestion struct {
	answers []streamversions.Answer
	awaited map[netip.Addr]bool // peers whose answers are waited for
	done    chan struct{}
}

// add adds the answer of a peer and reports whether no further one matters.
func (q *streamQuestion) add(peer netip.Addr, a streamversions.Answer) bool {
	q.answers = append(q.answers, a)
	delete(q.awaited, peer)
	return a.Known || len(q.awaited) == 0
}

// streamOf returns the stream of a request.
func streamOf(r Request) streamversions.Stream {
	if r.Resumes != "" {
		return streamversions.StreamOf(r.Resumes)
	}
	return streamversions.StreamOf(r.ID)
}

// takesUp reports whether a request takes up a stream that an earlier request began.
func (c *call) takesUp() bool {
	return c.route.Resumable && (c.request.Resumes != "" || c.request.LastEventID != "")
}

// resolveVersion finds the software version at which a stream that the caller takes up began.
// If it can't go on, it sends the answer and returns false. Nothing has been sent to an
// endpoint then.
func (g *Gateway) resolveVersion(ctx context.Context, c *call, service string) bool {
	if !c.takesUp() {
		return true
	}
	var serves bool
	c.version, serves = g.takenUpVersion(ctx, c.request, service)
	switch {
	case c.version == 0:
		g.instruments.streamsNotTakenUp.Inc(1)
		return g.reject(c, http.StatusServiceUnavailable, "version that began the stream not known")
	case !serves:
		g.instruments.streamsNotTakenUp.Inc(1)
		return g.reject(c, http.StatusServiceUnavailable, "version that began the stream not served")
	}
	g.instruments.streamsTakenUp.Inc(1)
	return true
}

// takenUpVersion returns the version at which a stream goes on that a request takes up, or 0 if it may not go on, and whether endpoints
// serve it. Unless the version at which it began is recorded, the registry is read first: a process that is cut off must not go by what it knew.
func (g *Gateway) takenUpVersion(ctx context.Context, r Request, service string) (version streamversions.Version, serves bool) {
	stream, askedAt := streamOf(r), bootclock.Now()
	knowledge := func() streamversions.Answer {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.streamAnswer(stream, placement.ServiceHash(service))
	}
	own := knowledge()
	var answers []streamversions.Answer
	asked, current := 0, false
	if !own.Known {
		answers, asked = g.askPeers(ctx, stream, service)
	}
	_, recorded := streamversions.Recorded(own, answers)
	if !recorded && streamversions.Decide(own, answers, true) != 0 {
		current = g.awaitRegistry(ctx, askedAt)
		own = knowledge()
	}
	version = streamversions.Decide(own, answers, current)
	g.mu.Lock()
	serves = g.table.Serves(service, version)
	g.mu.Unlock()
	klog.InfoS("stream taken up", "request", r.ID, "resumes", r.Resumes, "after", r.LastEventID, "service", service,
		"recorded", recorded, "peers_asked", asked, "peers_answered", len(answers), "registry_read", current, "allowed", version != 0, "serves", serves)
	return version, serves
}

// streamAnswer returns what this process knows of a stream of a service, which is given by its
// hash. The caller must hold g.mu.
func (g *Gateway) streamAnswer(stream streamversions.Stream, service uint32) streamversions.Answer {
	now := g.now()
	if version, ok := g.streams.Version(now, stream); ok {
		return streamversions.Answer{Known: true, Version: version}
	}
	state, version := g.serviceVersions.State(now, service, g.registryCurrent())
	return streamversions.Answer{State: state, Version: version}
}

// askPeers asks peers at which version a stream began. It returns the answers that came in
// time and the number of peers that were asked.
func (g *Gateway) askPeers(ctx context.Context, stream streamversions.Stream, service string) (answers []streamversions.Answer, asked int) {
	targets, awaited := newStreamPeers(g.peers.Known()).choose(stream, streamversions.MaxAsked), make(map[netip.Addr]bool)
	if len(targets) == 0 {
		return nil, 0
	}
	// A peer that was not heard lately is asked too, but waited for only if there is no other one.
	for _, peer := range g.peers.Alive() {
		if slices.Contains(targets, peer) {
			awaited[peer] = true
		}
	}
	if len(awaited) == 0 {
		for _, peer := range targets {
			awaited[peer] = true
		}
	}
	q := &streamQuestion{awaited: awaited, done: make(chan struct{})}
	g.mu.Lock()
	g.streamQuestions[stream] = append(g.streamQuestions[stream], q)
	g.mu.Unlock()
	for _, peer := range targets {
		g.peers.SendStreams(peer, peers.StreamMessage{Asked: []peers.StreamQuestion{{Stream: stream, Service: placement.ServiceHash(service)}}})
	}
	timer := time.NewTimer(streamAnswerTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeQuestion(stream, q)
	return q.answers, len(targets)
}

// removeQuestion removes a question, answered or not. The caller must hold g.mu.
func (g *Gateway) removeQuestion(stream streamversions.Stream, q *streamQuestion) {
	open := g.streamQuestions[stream][:0]
	for _, other := range g.streamQuestions[stream] {
		if other != q {
			open = append(open, other)
		}
	}
	if len(open) == 0 {
		delete(g.streamQuestions, stream)
		return
	}
	g.streamQuestions[stream] = open
}

// streamPeers are peers among which those that keep or are asked for a stream's record are chosen.
type streamPeers struct {
	candidates []netip.Addr
	numbers    []uint64
	addresses  map[uint64]netip.Addr
}

func newStreamPeers(candidates []netip.Addr) streamPeers {
	p := streamPeers{candidates: candidates, addresses: make(map[uint64]netip.Addr, len(candidates))}
	for _, peer := range candidates {
		number := processNumber(peer)
		p.addresses[number] = peer
		p.numbers = append(p.numbers, number)
	}
	return p
}

// choose returns at most n of the peers, those that keep a stream's record first.
func (p streamPeers) choose(stream streamversions.Stream, n int) []netip.Addr {
	var chosen []netip.Addr
	for _, number := range streamversions.Choose(stream, p.numbers, n) {
		chosen = append(chosen, p.addresses[number])
	}
	return chosen
}

// streamKeepers returns the peers that may be told of streams: those in reach, or all known ones
// while none has been heard. Peers seldom change.
func (g *Gateway) streamKeepers() streamPeers {
	candidates := g.peers.Alive()
	if len(candidates) == 0 {
		candidates = g.peers.Known()
	}
	if last := g.lastStreamKeepers.Load(); last != nil && slices.Equal(last.candidates, candidates) {
		return *last
	}
	keepers := newStreamPeers(candidates)
	g.lastStreamKeepers.Store(&keepers)
	return keepers
}

// untoldStream is a record of which peers have not been told, and how many of them are to be.
type untoldStream struct {
	streamversions.Record
	copies int
}

// recordStream records the version of the endpoint that sends the events of a resumable stream, before
// the first of them is forwarded. Peers are told of it at the next tick, however many versions the service has: nobody knows when this
// process ends, nor what comes to serve while the registry can't be read.
func (g *Gateway) recordStream(c *call, e placement.Endpoint) {
	if !c.route.Resumable || c.streamRecorded {
		return
	}
	c.streamRecorded = true
	c.version = streamversions.VersionOf(e.Version)
	record := streamversions.Record{Stream: streamOf(c.request), Version: c.version, Left: time.Until(c.callerLimit) + streamLifetimeMargin}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.streams.Add(g.now(), record) {
		g.instruments.streamsNotRecorded.Inc(1)
		return
	}
	copies := streamversions.Copies
	if state, _ := g.serviceVersions.State(g.now(), placement.ServiceHash(e.Service), g.registryCurrent()); state == streamversions.StateSole {
		copies = streamversions.CopiesOfSole
	}
	g.untoldStreams = append(g.untoldStreams, untoldStream{record, copies})
}

// tellAllStreams has peers told of all streams that may be taken up, as their versions can't be told any more from what serves. The caller must
// hold g.mu.
func (g *Gateway) tellAllStreams(now domain.Instant) {
	for _, r := range g.streams.All(now) {
		g.untoldStreams = append(g.untoldStreams, untoldStream{r, streamversions.Copies})
	}
}

// tellPeers sends the records that peers have not been told of to those that keep them.
func (g *Gateway) tellPeers() {
	g.mu.Lock()
	records := g.untoldStreams
	g.untoldStreams = nil
	g.mu.Unlock()
	if len(records) == 0 {
		return
	}
	keepers, byPeer := g.streamKeepers(), make(map[netip.Addr][]streamversions.Record)
	for _, r := range records {
		for _, peer := range keepers.choose(r.Stream, r.copies) {
			byPeer[peer] = append(byPeer[peer], r.Record)
		}
	}
	for peer, list := range byPeer {
		g.peers.SendStreams(peer, peers.StreamMessage{Begun: list})
	}
}

// PeerStarted tells a peer that has started, or is in reach again, of the streams whose records it keeps.
func (g *Gateway) PeerStarted(peer netip.Addr) {
	g.mu.Lock()
	records := g.streams.All(g.now())
	g.mu.Unlock()
	keepers := g.streamKeepers()
	var list []streamversions.Record
	for _, r := range records {
		if slices.Contains(keepers.choose(r.Stream, streamversions.Copies), peer) {
			list = append(list, r)
		}
	}
	if len(list) > 0 {
		g.peers.SendStreams(peer, peers.StreamMessage{Begun: list})
	}
}

// PeerStreams records the streams that a peer tells of, answers its questions, and passes its
// answers on to the requests that wait for them.
func (g *Gateway) PeerStreams(peer netip.Addr, m peers.StreamMessage) {
	var reply peers.StreamMessage
	g.mu.Lock()
	for _, r := range m.Begun {
		if !g.streams.Add(g.now(), r) {
			g.instruments.streamsNotRecorded.Inc(1)
		}
	}
	for _, q := range m.Asked {
		reply.Answers = append(reply.Answers, peers.StreamAnswer{Stream: q.Stream, Answer: g.streamAnswer(q.Stream, q.Service)})
	}
	for _, a := range m.Answers {
		g.adoptVersions(a)
		for _, q := range append([]*streamQuestion(nil), g.streamQuestions[a.Stream]...) {
			if q.add(peer, a.Answer) {
				g.removeQuestion(a.Stream, q)
				close(q.done)
			}
		}
	}
	g.mu.Unlock()
	if len(reply.Answers) > 0 {
		g.peers.SendStreams(peer, reply)
	}
}

// putVersion records the version of an endpoint. If a service gets a second version, peers are
// told of the streams that have begun here. The caller must hold g.mu.
func (g *Gateway) putVersion(e placement.Endpoint) {
	now, service := g.now(), placement.ServiceHash(e.Service)
	before, _ := g.serviceVersions.State(now, service, g.registryCurrent())
	g.serviceVersions.Put(now, e.ID, streamversions.Process{Service: service, Version: streamversions.VersionOf(e.Version), Start: e.Start})
	after, _ := g.serviceVersions.State(now, service, g.registryCurrent())
	if before == streamversions.StateSole && after == streamversions.StateMixed {
		klog.InfoS("service has several versions", "service", e.Service, "endpoint", e.ID, "version", e.Version)
		g.tellAllStreams(now)
	}
}

// expireStreams discards the records of streams that can't be taken up any more.
func (g *Gateway) expireStreams() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams.Expire(g.now())
	g.serviceVersions.Expire(g.now())
}

// serviceStream is the stream that stands for a service in questions about its former versions.
func serviceStream(service uint32) streamversions.Stream { return streamversions.Stream(service) }

// askHistory asks peers which versions the services had before this process started, where it doesn't know.
func (g *Gateway) askHistory() {
	g.mu.Lock()
	now := g.now()
	unsure := g.serviceVersions.Unsure(now, g.registryCurrent())
	due := len(unsure) > 0 && now.Sub(g.historyAskedAt) >= max(minHistoryInterval, now.Sub(g.serviceVersions.ReadSince())/8)
	if due {
		g.historyAskedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	// Each time other peers: some of them may have just started too.
	for _, peer := range newStreamPeers(g.peers.Alive()).choose(streamversions.Stream(now), historyAskers) {
		var m peers.StreamMessage
		for _, service := range unsure {
			m.Asked = append(m.Asked, peers.StreamQuestion{Stream: serviceStream(service), Service: service})
		}
		g.peers.SendStreams(peer, m)
	}
}

// adoptVersions takes over an answer to askHistory. The caller must hold g.mu.
func (g *Gateway) adoptVersions(a peers.StreamAnswer) {
	service := uint32(a.Stream)
	if a.Stream != serviceStream(service) || a.Answer.Known || a.Answer.State != streamversions.StateSole {
		return
	}
	g.serviceVersions.Adopt(g.now(), g.historyAskedAt, service, a.Answer.Version)
}
