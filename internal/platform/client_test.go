package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
	standin "github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

func startClient(t *testing.T, handler http.Handler) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c := platform.New(platform.Options{URL: server.URL})
	t.Cleanup(c.Close)
	return c
}

func claimRequest(key string, version uint64) table.Request {
	return table.Request{
		Conditions: []table.Condition{{Table: table.Claims, Key: key, Version: version}},
		Writes:     []table.Write{{Table: table.Claims, Key: key, Value: []byte("v")}},
		Gets:       []table.Get{{Table: table.Claims, Key: key}},
	}
}

func TestTransactions(t *testing.T) {
	c := startClient(t, standin.New(standin.Options{}))
	ctx := context.Background()
	want := []table.Row{{Table: table.Claims, Key: "a", Version: 1, Value: []byte("v")}}

	reply := c.Do(ctx, claimRequest("a", 0))
	assert.Equal(t, reply.Status, table.StatusOK)
	assert.DeepEqual(t, reply.Rows, want)
	assert.Assert(t, !reply.Time.IsZero())

	reply = c.Do(ctx, claimRequest("a", 0))
	assert.Equal(t, reply.Status, table.StatusConflict)
	assert.DeepEqual(t, reply.Rows, want)

	reply = c.Do(ctx, claimRequest("a", 1))
	assert.Equal(t, reply.Status, table.StatusOK)
	assert.Equal(t, reply.Rows[0].Version, uint64(2))

	c.Do(ctx, claimRequest("b", 0))
	c.Do(ctx, claimRequest("c", 0))
	reply = c.Do(ctx, table.Request{Scans: []table.Scan{{Table: table.Claims, After: "a", Limit: 1}}})
	assert.Equal(t, len(reply.Rows), 1)
	assert.Equal(t, reply.Rows[0].Key, "b")
}

func TestStatuses(t *testing.T) {
	tests := []struct {
		status int
		want   table.Status
	}{
		{http.StatusTooManyRequests, table.StatusUnavailable},
		{http.StatusServiceUnavailable, table.StatusUnavailable},
		{http.StatusInternalServerError, table.StatusLost},
		{http.StatusBadGateway, table.StatusLost},
		{http.StatusFound, table.StatusLost},
		{http.StatusOK, table.StatusLost}, // without a reply
	}
	for _, test := range tests {
		c := startClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(test.status) }))
		assert.Equal(t, c.Do(context.Background(), claimRequest("a", 0)).Status, test.want, "status %d", test.status)
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	c := platform.New(platform.Options{URL: server.URL})
	server.Close()
	assert.Equal(t, c.Do(context.Background(), claimRequest("a", 0)).Status, table.StatusUnavailable)
}

func TestClosedConnectionIsLost(t *testing.T) {
	c := startClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	assert.Equal(t, c.Do(context.Background(), claimRequest("a", 0)).Status, table.StatusLost)
}

func TestLostReplyIsStillApplied(t *testing.T) {
	p := standin.New(standin.Options{})
	c := startClient(t, p)
	assert.NilError(t, p.SetFaults(standin.Faults{LoseNext: 1}))
	ctx := context.Background()
	assert.Equal(t, c.Do(ctx, claimRequest("a", 0)).Status, table.StatusLost)
	assert.Equal(t, c.Do(ctx, claimRequest("a", 0)).Status, table.StatusConflict)
	assert.Equal(t, p.Counters().Lost, uint64(1))
}

func TestUnavailableServiceWritesNothing(t *testing.T) {
	p := standin.New(standin.Options{})
	c := startClient(t, p)
	ctx := context.Background()
	assert.NilError(t, p.SetFaults(standin.Faults{Unavailable: true}))
	assert.Equal(t, c.Do(ctx, claimRequest("a", 0)).Status, table.StatusUnavailable)
	assert.NilError(t, p.SetFaults(standin.Faults{}))
	assert.Equal(t, c.Do(ctx, claimRequest("a", 0)).Status, table.StatusOK)
}

func TestRateLimitIsUnavailable(t *testing.T) {
	p := standin.New(standin.Options{WritesPerSecond: 1})
	c := startClient(t, p)
	two := claimRequest("a", 0)
	two.Writes = append(two.Writes, table.Write{Table: table.Claims, Key: "b"})
	assert.Equal(t, c.Do(context.Background(), two).Status, table.StatusUnavailable)
	assert.Equal(t, p.Counters().Refused, uint64(1))
}

func TestUnresponsiveConnectionsAreNotReused(t *testing.T) {
	server, err := netfault.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	p := standin.New(standin.Options{Network: server})
	server.Serve(p)
	c := platform.New(platform.Options{URL: "http://" + server.Addr(), Timeout: 300 * time.Millisecond})
	ctx := context.Background()
	assert.Equal(t, c.Do(ctx, claimRequest("a", 0)).Status, table.StatusOK)
	assert.NilError(t, p.SetFaults(standin.Faults{MuteOpen: true}))
	assert.Equal(t, c.Do(ctx, claimRequest("b", 0)).Status, table.StatusLost)
	assert.Equal(t, c.Do(ctx, claimRequest("c", 0)).Status, table.StatusOK)
	assert.NilError(t, p.SetFaults(standin.Faults{Crashed: true}))
	// The first request may use a connection that the client does not know to be
	// closed.
	if first := c.Do(ctx, claimRequest("d", 0)).Status; first != table.StatusLost {
		assert.Equal(t, first, table.StatusUnavailable)
	}
	assert.Equal(t, c.Do(ctx, claimRequest("d", 0)).Status, table.StatusUnavailable)
	assert.NilError(t, p.SetFaults(standin.Faults{}))
	assert.Equal(t, c.Do(ctx, claimRequest("d", 0)).Status, table.StatusOK)
}

func TestHosts(t *testing.T) {
	p := standin.New(standin.Options{HostsLag: time.Nanosecond})
	c := startClient(t, p)
	want := []table.Host{{Address: "10.0.0.1", State: table.HostLive}, {Address: "10.0.0.2", State: table.HostLeaving}}
	p.SetHosts(append(want, table.Host{Address: "10.0.0.3", State: "unheard-of"}))
	hosts, err := c.Hosts(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, want)
	assert.NilError(t, p.SetFaults(standin.Faults{Crashed: true}))
	_, err = c.Hosts(context.Background())
	assert.ErrorContains(t, err, "hosts: send request to")
}

func FuzzParseReply(f *testing.F) {
	f.Add([]byte(`{"rows":[{"table":"claims","key":"a","version":1,"value":"dg=="}],"time":"2020-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"rows":[{"table":"claims","key":"","version":0}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		reply, err := platform.ParseReply(data)
		if err != nil {
			return
		}
		for _, row := range reply.Rows {
			assert.Assert(t, row.Table != "" && row.Key != "" && row.Version > 0)
		}
		encoded, err := json.Marshal(reply)
		assert.NilError(t, err)
		reparsed, err := platform.ParseReply(encoded)
		assert.NilError(t, err)
		assert.Equal(t, len(reparsed.Rows), len(reply.Rows))
	})
}
