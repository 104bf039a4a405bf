package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
)

// answeringSource answers requests for a reading of the registry.
type answeringSource struct {
	countingSource
	confirm func()
}

func (s *answeringSource) ConfirmRegistry() { s.confirm() }

// readingAt is a confirmation of the registry as of a boot-clock time.
func readingAt(at time.Duration) confirmation.Confirmation {
	return confirmation.Confirmation{Version: 1, At: confirmation.StoreTime{Era: 1, Millis: storeNow + at.Milliseconds()}}
}

// startReading returns a gateway that has read the registry, with an endpoint of one version, and the boot-clock time since which it knows it.
func startReading(source *answeringSource) (*Gateway, time.Duration) {
	g := New(Settings{FirstStart: true}, nil, source)
	started := bootclock.Now()
	g.StoreAnswered(started, readingAt(0).At)
	g.Endpoint(placement.Endpoint{ID: "i-1", Service: "app", Version: "v1"})
	g.RegistryConfirmed(readingAt(0))
	return g, started
}

// Guards against a stream that goes on at another version at a gateway that is cut off, as no other one is left to object: without a record, only
// a registry that was read since the caller asked allows a version.
func TestTakenUpStreamNeedsTheRegistry(t *testing.T) {
	v1 := streamversions.VersionOf("v1")
	for name, c := range map[string]struct {
		answer func(g *Gateway, started time.Duration) // of the store to a request for a reading
		want   streamversions.Version
	}{
		"nothing has changed": {func(g *Gateway, started time.Duration) {
			g.RegistryConfirmed(readingAt(bootclock.Now() - started + time.Millisecond))
		}, v1},
		"no answer":       {func(*Gateway, time.Duration) {}, 0},
		"an older answer": {func(g *Gateway, _ time.Duration) { g.RegistryConfirmed(readingAt(time.Millisecond)) }, 0},
		"another version": {func(g *Gateway, started time.Duration) {
			g.Endpoint(placement.Endpoint{ID: "i-2", Service: "app", Version: "v2"})
			g.RegistryConfirmed(readingAt(bootclock.Now() - started + time.Millisecond))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			source := &answeringSource{}
			g, started := startReading(source)
			source.confirm = func() { c.answer(g, started-time.Millisecond) }
			time.Sleep(2 * time.Millisecond) // readings are in milliseconds
			got, _ := g.takenUpVersion(t.Context(), Request{ID: "t1", Resumes: "r1", LastEventID: "3"}, "app")
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against streams that go on nowhere since a gateway has forgotten what it knew before a gap between two readings of the registry:
// only what may have come and gone in the gap is not known.
func TestMissedRegistryChanges(t *testing.T) {
	endpoint := placement.Endpoint{ID: "i-1", Service: "app", Version: "v1", Start: 1}
	later, other := endpoint, endpoint
	later.Start, other.ID = 2, "i-2"
	long := maxRegistryGap + time.Millisecond
	for name, c := range map[string]struct {
		gap    time.Duration
		change func(*Gateway)
		sure   bool
	}{
		"short gap":              {maxRegistryGap, func(g *Gateway) { g.Endpoint(later) }, true},
		"nothing changed":        {long, func(*Gateway) {}, true},
		"entry written again":    {long, func(g *Gateway) { g.Endpoint(endpoint) }, true},
		"entry lapsed and back":  {long, func(g *Gateway) { g.EndpointRemoved("i-1"); g.Endpoint(endpoint) }, true},
		"entry lapsed":           {long, func(g *Gateway) { g.RegistryLost(nil); g.EndpointRemoved("i-1") }, false},
		"endpoint started again": {long, func(g *Gateway) { g.Endpoint(later) }, false},
		"new endpoint":           {long, func(g *Gateway) { g.Endpoint(other) }, false},
		"entry never read":       {time.Millisecond, func(g *Gateway) { g.EntriesUnseen() }, false},
		"store from a copy":      {time.Millisecond, func(g *Gateway) { g.RegistryRestored() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := startReading(&answeringSource{})
			g.Endpoint(endpoint)
			g.RegistryConfirmed(readingAt(time.Millisecond))
			g.streams.Add(g.now(), streamversions.Record{Stream: 7, Version: streamversions.VersionOf("v1"), Left: time.Minute})
			c.change(g)
			g.RegistryConfirmed(readingAt(time.Millisecond + c.gap))
			g.mu.Lock()
			defer g.mu.Unlock()
			state, version := g.serviceVersions.State(g.now(), placement.ServiceHash("app"), true)
			assert.Equal(t, version, streamversions.VersionOf("v1"))
			assert.Equal(t, state == streamversions.StateSole, c.sure)
			assert.Assert(t, c.sure || len(g.untoldStreams) == 1 && g.untoldStreams[0].copies == streamversions.Copies, "two peers are told of the streams that run")
		})
	}
}

// Guards against streams that go on nowhere once their gateway has ended: peers are told of each as it begins, also while the service has had no
// other version and the registry is read.
func TestPeersAreToldOfEachStream(t *testing.T) {
	g, _ := startReading(&answeringSource{})
	endpoint := placement.Endpoint{ID: "i-1", Service: "app", Version: "v1", Start: 1}
	g.Endpoint(endpoint)
	// The last tick is long ago in the second round, and the registry may be out of date.
	for _, want := range []struct {
		id       string
		tickedAt time.Duration
		copies   int
	}{{"r1", bootclock.Now() + time.Hour, streamversions.CopiesOfSole}, {"r2", bootclock.Now() - 2*maxTickGap, streamversions.Copies}} {
		g.standstill.tickedAt, g.untoldStreams = want.tickedAt, nil
		c := &call{route: &routing.Route{Kind: routing.KindStream, Resumable: true}, request: Request{ID: want.id}, callerLimit: time.Now().Add(time.Second)}
		for range 2 {
			g.recordStream(c, endpoint)
		}
		assert.Equal(t, len(g.untoldStreams), 1)
		told := g.untoldStreams[0]
		assert.Equal(t, told.Stream, streamversions.StreamOf(want.id))
		assert.Equal(t, told.Version, streamversions.VersionOf("v1"))
		assert.Equal(t, told.copies, want.copies)
	}
}

// The wait for a reading ends with the request.
func TestAwaitRegistryEndsWithTheRequest(t *testing.T) {
	asked := make(chan struct{}, 1)
	g, _ := startReading(&answeringSource{confirm: func() { asked <- struct{}{} }})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	assert.Assert(t, !g.awaitRegistry(ctx, bootclock.Now()+time.Hour))
}
