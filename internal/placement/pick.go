package placement

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Query describes a request to place.
type Query struct {
	Service string
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Parts are the parts of the prompt, in order; none for plain services.
	Parts []Part
	// Output is the most tokens that the request may make.
	Output int
	// Expected is the tokens that it is likely to make; 0 if the caller doesn't say.
	Expected int
	// Target is the time to the first event within which the answer is useful; 0 if none.
	Target time.Duration
	// Deadline is when the whole answer has to be there; 0 if the caller waits for ever.
	Deadline domain.Instant
	// Exclude are endpoints that have had the request.
	Exclude []string
}

// Ticket is a request that has been placed on an endpoint.
type Ticket struct {
	Endpoint Endpoint
	// Score is the cost by which the endpoint was chosen; the lowest wins.
	Score float64
	// Candidates is the number of endpoints that were compared.
	Candidates int
	// Split is the number of endpoints that long outputs went to first.
	Split int
	// OwnSide is whether the endpoint is on the request's side of the split.
	OwnSide bool
	// Home is 1 or 2 for an endpoint where the session belongs, else 0.
	Home int
	// Demand is the requests that were estimated to run or wait there.
	Demand int
	// Backlog is the prompt tokens that were estimated to wait there.
	Backlog int
	// Unread is the prompt tokens that the endpoint was expected to read for the request.
	Unread int
	// Pace is the prompt tokens that the endpoint was expected to read in a millisecond.
	Pace float64
	// Duty is the share of its time that long prompts took.
	Duty float64
	// Gap is the time between two events of its streams; 0 if not known.
	Gap time.Duration

	state    *state
	work     work
	expected int  // tokens of the answer
	parts    bool // it has a prompt
	at       domain.Instant
	first    bool
	ended    bool
	events   int            // of the stream so far
	last     domain.Instant // when the last of them came
}

const (
	// unreadWeight is the cost of a prompt token to read beside one that waits
	// to be read: reading also delays the streams that run there.
	unreadWeight = 10.0
	// prefillHorizon is the prompt tokens that cost as much as a full endpoint,
	// about 0.4 s of reading at the engines' declared rates.
	prefillHorizon = 40_000.0
	// crossingCost is the cost of a request on the other side of the split, in
	// shares of a full endpoint.
	crossingCost = 1.0
	// harmlessChunks is the reading that streams don't notice as a pause, in chunks.
	harmlessChunks = 1.0
	// pauseCost is the cost of a chunk more for each stream that it pauses.
	pauseCost = 0.25
	// remoteCost breaks ties in favour of the own data centre.
	remoteCost = 0.02
	// failureCost is the cost of an endpoint whose recent requests all failed.
	failureCost = 2.0
	// memoryCost is the cost of an endpoint for each share of its memory over memoryShare.
	memoryCost = 4.0
	// memoryShare is the share of an engine's memory that requests may need
	// before it costs; the rest keeps prompts of before.
	memoryShare = 0.6
	// silenceBound is the time without a word after which an endpoint with work
	// outstanding is left: twice what all but one in a hundred plain requests take.
	silenceBound = 700 * time.Millisecond
	// defaultSlots is used for an endpoint that declares none.
	defaultSlots = 8
	// reportLife is how long a reported load is used.
	reportLife = 1500 * time.Millisecond
)

// Pick chooses an endpoint and counts the request there. It returns nil when no
// endpoint can start the request in time.
func (t *Table) Pick(now domain.Instant, q Query) *Ticket {
	of := t.services[q.Service]
	if of == nil {
		return nil
	}
	usable := t.usable(now, of.endpoints, q)
	if len(usable) == 0 {
		return nil
	}
	if len(q.Parts) == 0 {
		return t.pickPlain(now, usable)
	}
	return t.pickEngine(now, of, usable, q)
}

func (t *Table) pickPlain(now domain.Instant, usable []*state) *Ticket {
	var best *state
	var bestScore float64
	for _, s := range usable {
		if !s.admitsPlain(now) {
			continue
		}
		if score := t.baseScore(now, s); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil
	}
	return t.place(now, best, work{inFlight: 1}, Ticket{Score: bestScore, Candidates: len(usable)})
}

func (t *Table) pickEngine(now domain.Instant, of *service, usable []*state, q Query) *Ticket {
	l := t.layOut(now, of, usable, q)
	var best *state
	var chosen position
	for _, s := range usable {
		p := l.position(s, q)
		p.unread = t.unread(now, s, q.Parts, l.homes.discount(s))
		if !s.admits(now, of, q, p) || !s.finishes(now, of, q, p) {
			continue
		}
		p.score = t.engineScore(now, of, s, q, p)
		if best == nil || p.score < chosen.score {
			best, chosen = s, p
		}
	}
	if best == nil {
		return nil
	}
	t.remember(now, best, q.Parts)
	best.given.add(now, chosen.unread)
	return t.place(now, best, q.work(chosen), Ticket{
		Score: chosen.score, Candidates: len(usable), Split: l.size, OwnSide: chosen.ownSide,
		Home: chosen.home, Demand: best.demand(now),
		Pace: of.pace.tokens(), Duty: best.duty(now, of), Gap: best.gap(now), expected: q.expected(), parts: true,
	})
}

// work is what a request asks of the engine that it is placed on.
func (q Query) work(p position) work {
	w := work{inFlight: 1, unread: int(p.unread), memory: q.memory()}
	if isLong(q) {
		w.long = w.unread
	}
	if decodeHeavy(q) {
		w.decoding = 1
	}
	return w
}

// layout is how the engines of a service stand to a request.
type layout struct {
	size    int      // number of engines set aside for long outputs
	side    []*state // the side of the split that the request belongs to
	leaving []*state // engines that have just left the side of long outputs
	homes   homeSet
	// firstSound is whether the first home could be used and is as fast as others.
	firstSound bool
	// homeless is whether neither home is so.
	homeless bool
	// sideless is whether a prompt's own side has no engine that could be used.
	sideless bool
}

func (t *Table) layOut(now domain.Instant, of *service, usable []*state, q Query) layout {
	open := slices.DeleteFunc(slices.Clone(of.endpoints), func(s *state) bool { return s.Draining })
	reading, setAside := t.asked(now, of, q.Service)
	l := layout{size: of.split.update(now, open, reading, of.pace.tokens(), setAside)}
	l.leaving = open[l.size:max(l.size, of.split.recent)]
	l.side = open[l.size:]
	if decodeHeavy(q) && l.size > 0 {
		l.side = open[:l.size]
	}
	l.homes = homes(l.side, q.Parts)
	sound := func(s *state) bool { return slices.Contains(usable, s) && s.slowness(now, of) < slowFrom }
	l.firstSound = sound(l.homes.first)
	l.homeless = !l.firstSound && !sound(l.homes.second)
	l.sideless = !decodeHeavy(q) && !slices.ContainsFunc(usable, func(s *state) bool { return slices.Contains(l.side, s) })
	return l
}

// position is how an endpoint stands to a request.
type position struct {
	ownSide bool
	away    bool    // it is no home of the request's session, and one could be used
	leaving bool    // it has just left the side of long outputs
	home    int     // 1 or 2 for a home of the request's session, else 0
	spill   bool    // the second home of a long prompt whose first one could be used
	unread  float64 // prompt tokens that it is expected to read
	score   float64
}

func (l layout) position(s *state, q Query) position {
	home := l.homes.number(s)
	return position{
		ownSide: l.size == 0 || l.sideless || slices.Contains(l.side, s),
		away:    home == 0 && !l.homeless,
		leaving: slices.Contains(l.leaving, s),
		home:    home,
		spill:   isLong(q) && home == 2 && l.firstSound,
	}
}

// engineScore is the cost of a request at an engine, in shares of a full one.
func (t *Table) engineScore(now domain.Instant, of *service, s *state, q Query, p position) float64 {
	score := t.baseScore(now, s) + s.memoryScore(of.memory, q)
	backlog := float64(s.backlog())
	if decodeHeavy(q) {
		backlog += float64(s.own.long+s.peers.long) * unreadWeight
	}
	slow := s.slowness(now, of)
	score += (backlog+p.unread*unreadWeight)/prefillHorizon*slow + (slow-1)*slowCost
	if !p.ownSide {
		score += crossingCost
	}
	return score + s.harm(q, p.unread)
}

// harm is the cost of the pause that a long prompt makes in the streams that run
// at an engine, such as those that are left there when the split moves.
func (s *state) harm(q Query, unread float64) float64 {
	if !isLong(q) {
		return 0
	}
	chunks := (float64(s.backlog())+unread)/chunkTokens - harmlessChunks
	return max(chunks, 0) * float64(s.streams()) * pauseCost
}

// usable filters the endpoints that may have a request: those neither draining
// nor tried, and of them those not avoided, if there are any.
func (t *Table) usable(now domain.Instant, all []*state, q Query) []*state {
	var open, sound []*state
	for _, s := range all {
		if s.Draining || slices.Contains(q.Exclude, s.ID) {
			continue
		}
		open = append(open, s)
		if s.avoid <= now && !s.silent(now, t.service(s.Service).pace.tokens()) {
			sound = append(sound, s)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return open
}

// silent reports whether an endpoint has said nothing for too long, on any
// connection, with work outstanding. An engine may be busy reading.
func (s *state) silent(now domain.Instant, pace float64) bool {
	if s.own.inFlight == 0 {
		return false
	}
	reading := time.Duration(float64(s.backlog()) / pace * float64(time.Millisecond))
	return now.Sub(max(s.heard, s.asked)) > silenceBound+reading
}

// baseScore is the share of an endpoint's slots in use, and what speaks against it.
func (t *Table) baseScore(now domain.Instant, s *state) float64 {
	score := float64(s.demand(now))/float64(s.slots()) + s.failures*failureCost
	if s.DataCentre != t.settings.DataCentre {
		score += remoteCost
	}
	return score
}

// demand estimates the requests that run or wait at an endpoint, of all processes.
func (s *state) demand(now domain.Instant) int {
	told := s.own.inFlight + s.peers.inFlight
	if !s.hasReport || now.Sub(s.reportedAt) > reportLife {
		return told
	}
	return max(s.reported.Running+s.reported.Waiting+s.own.inFlight-s.inFlightAtReport, told)
}

func (s *state) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

// memory is the engine memory that a request needs beside the parts that it
// shares, in tokens.
func (q Query) memory() int { return q.Parts[len(q.Parts)-1].Tokens + q.Output }

func (s *state) memoryScore(memory int, q Query) float64 {
	if memory <= 0 {
		return 0
	}
	share := float64(s.memoryInUse()+q.memory()) / float64(memory)
	return max(share-memoryShare, 0) * memoryCost
}

func (t *Table) place(now domain.Instant, s *state, w work, ticket Ticket) *Ticket {
	ticket.Endpoint, ticket.state, ticket.work, ticket.at = s.Endpoint, s, w, now
	if s.own.inFlight == 0 {
		s.asked = now
	}
	ticket.Backlog, ticket.Unread = s.backlog(), w.unread
	s.own.add(w, 1)
	return &ticket
}
