package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/peers"
	"github.com/dunlinpulley/dunlinpulley/internal/retrybudget"
)

// The model of all gateways of a deployment: what each knows of the others and its retry budget.
const (
	modelWindow = 10 * time.Second
	modelRatio  = 0.2
	modelExtra  = 246.0
	modelStep   = 500 * time.Millisecond
	// modelListInterval is the interval, in messages, at which a gateway lists the others that it hears, after modelFirstLists.
	modelListInterval, modelFirstLists = 8, 4
)

// modelGateway is one host with the gateway that runs there.
type modelGateway struct {
	address     netip.Addr
	part        int // of the network; gateways of different parts don't hear each other
	incarnation uint64
	sequence    uint64
	members     *peers.Members
	budget      *retrybudget.Budget
}

// modelDeployment is a number of gateways with the requests and the retries of all of them.
type modelDeployment struct {
	now               domain.Instant
	gateways          []*modelGateway
	byAddress         map[netip.Addr]*modelGateway
	requests, retries []domain.Instant
}

func newModelDeployment(n int) *modelDeployment {
	d := &modelDeployment{now: 1, byAddress: make(map[netip.Addr]*modelGateway)}
	for i := range n {
		g := &modelGateway{address: netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)})}
		d.gateways = append(d.gateways, g)
		d.byAddress[g.address] = g
	}
	for _, g := range d.gateways {
		d.start(g, true)
	}
	return d
}

// start starts a gateway, anew if one ran on the host.
func (d *modelDeployment) start(g *modelGateway, first bool) {
	var seeds []netip.Addr
	for _, seed := range d.gateways[:min(3, len(d.gateways))] {
		seeds = append(seeds, seed.address)
	}
	g.incarnation, g.sequence = uint64(d.now)+1, 0
	g.members, g.budget = peers.NewMembers(g.address, 1, seeds), retrybudget.New(d.now, modelWindow, modelRatio, modelExtra)
	if first {
		g.members.SetFirstStart()
	}
}

// step lets the gateways tell those of their part that they know their states and, at times, whom they hear, then get requests and take all retries
// that they may.
func (d *modelDeployment) step(requests int, retry bool) {
	d.now = d.now.Add(modelStep)
	for _, from := range d.gateways {
		from.sequence++
		message := peers.Message{From: from.address, Incarnation: from.incarnation, Sequence: from.sequence, Format: 1, DataCentre: 1, Own: true, Present: true}
		if from.sequence <= modelFirstLists || from.sequence%modelListInterval == 0 {
			message.Listed = from.members.List(from.members.Alive(d.now))
		}
		for _, address := range from.members.Targets() {
			if to := d.byAddress[address]; to != from && to.part == from.part {
				to.members.Record(d.now, message)
			}
		}
	}
	for _, g := range d.gateways {
		g.members.Expire(d.now, time.Second)
		for range requests {
			g.budget.RecordRequest(d.now)
			d.requests = append(d.requests, d.now)
		}
		for retry && g.budget.TakeRetry(d.now, extraDivisor(g.members.Divide(d.now))) {
			d.retries = append(d.retries, d.now)
		}
	}
}

// check compares the retries of the last window with what is allowed: the extra, and the ratio of the requests in it, in the window before it or
// in the one half a window before it, whichever has most.
func (d *modelDeployment) check(t assert.TestingT) {
	count := func(times []domain.Instant, after, until domain.Instant) int {
		n := 0
		for _, at := range times {
			if after < at && at <= until {
				n++
			}
		}
		return n
	}
	most := 0
	for _, back := range []time.Duration{0, modelWindow / 2, modelWindow} {
		until := d.now.Add(-back)
		most = max(most, count(d.requests, until.Add(-modelWindow), until))
	}
	retried, allowed := count(d.retries, d.now.Add(-modelWindow), d.now), modelRatio*float64(most)+modelExtra
	assert.Assert(t, float64(retried) <= allowed, "%d retries up to %s, allowed %.0f", retried, time.Duration(d.now), allowed)
}

// Guards against retries beyond the budget of all gateways, as each divides the extra by those that it knows: gateways are cut off from others, start
// again alone, in parts or all at once, and take every retry that they may.
func TestExtraIsTakenOftenerThanOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newModelDeployment(rapid.SampledFrom([]int{1, 3, 5, 36}).Draw(t, "gateways"))
		for range modelFirstLists {
			d.step(2, true)
			d.check(t)
		}
		some := func(name string) []*modelGateway {
			if rapid.Bool().Draw(t, "all "+name) {
				return d.gateways
			}
			from := rapid.IntRange(0, len(d.gateways)-1).Draw(t, "first "+name)
			return d.gateways[from:rapid.IntRange(from+1, len(d.gateways)).Draw(t, "end "+name)]
		}
		for range rapid.IntRange(3, 6).Draw(t, "events") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				part := rapid.IntRange(0, 3).Draw(t, "part")
				for _, g := range some("cut off") {
					g.part = part
				}
			case 2:
				for _, g := range some("restarted") {
					d.start(g, false)
				}
			case 3:
				// Of a part, so that those which start know no others.
				part := rapid.IntRange(0, 3).Draw(t, "restarted part")
				for _, g := range d.gateways {
					if g.part == part {
						d.start(g, false)
					}
				}
			case 4:
				for _, g := range d.gateways {
					g.part = 0
				}
			case 5:
				alone := some("cut off alone")
				restart := rapid.Bool().Draw(t, "restarted alone")
				for i, g := range alone {
					if g.part = 10 + i; restart {
						d.start(g, false)
					}
				}
			}
			requests, retry := rapid.IntRange(0, 2).Draw(t, "requests"), rapid.Bool().Draw(t, "retry")
			for range rapid.SampledFrom([]int{1, 5, 30}).Draw(t, "steps") {
				d.step(requests, retry)
				d.check(t)
			}
		}
	})
}

// The same at the size of a known deployment: half of 103 gateways are cut off and start again there, twice.
func TestExtraOfManyGatewaysThatStartCutOff(t *testing.T) {
	const gateways, cutOff = 103, 51
	d := newModelDeployment(gateways)
	for second := range 20 {
		for i, g := range d.gateways[gateways-cutOff:] {
			if second == 3 {
				g.part = 1 + i
			}
			if second == 3 || second == 7 {
				d.start(g, false)
			}
		}
		for range int(time.Second / modelStep) {
			d.step(1, true)
			d.check(t)
		}
	}
}
