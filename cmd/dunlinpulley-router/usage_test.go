package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/cloudapi"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/metastore"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

const (
	// usageReentry is the time within which holders may not follow each other in the order A, B, A.
	usageReentry = 3 * time.Second
	// usageWindowS is the length of a window in seconds.
	usageWindowS = 2
	// frozenTime is longer than a lease, which is a window and 2 s.
	frozenTime = 6 * time.Second
)

// gate is the way of one router to a stand-in, which can be cut.
type gate struct {
	http.Handler
	cut atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	g.Handler.ServeHTTP(w, r)
}

// reporter is a router that reports usage, with its ways to the store and the provider.
type reporter struct {
	*router
	name            string
	store, provider *gate
}

// fleet is routers that report usage, with stand-ins.
type fleet struct {
	t       *testing.T
	store   *metastore.Store
	api     *cloudapi.API
	routers []*reporter
}

// newFleet starts routers, which know each other if together is set.
func newFleet(t *testing.T, routers int, together bool) *fleet {
	endpoint, err := replica.Start("i-1")
	assert.NilError(t, err)
	t.Cleanup(endpoint.Stop)
	f := &fleet{t: t, store: metastore.New(), api: cloudapi.New(usageReentry)}
	put := func(table, key string, value any) {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		f.store.Put(table, key, data)
	}
	put("servers", endpoint.ID, map[string]any{
		"service": "app", "address": endpoint.Address(), "zone": "a", "slots": 8, "state": "ready", "born": replica.FirstBorn})
	put("op", "config", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "app", "max_connections": 50}}, "tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"key-1"}}},
		"routes": []any{map[string]any{
			"name": "once", "host": "app.example", "prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 8000, "service": "app", "max_attempts": 1}},
	})
	var seeds []string
	for i := range routers {
		ip, _, err := net.SplitHostPort(loopback.Address())
		assert.NilError(t, err)
		if together {
			seeds = append(seeds, ip+":6901")
		}
		r := &reporter{
			router:   &router{t: t, front: loopback.Address(), ready: loopback.Address(), endpoint: endpoint, settingsPath: filepath.Join(t.TempDir(), "settings.json")},
			name:     fmt.Sprintf("front-%d", i),
			store:    &gate{Handler: f.store},
			provider: &gate{Handler: f.api},
		}
		r.settings, err = json.Marshal(map[string]any{
			"node_name": r.name, "ip": ip, "zone": "a", "listen": map[string]string{"front": r.front, "ready": r.ready}, "internal_ports": []int{6901, 6901}, "seeds": seeds,
			"limits":    map[string]any{"memory_mb": 128},
			"bounds":    map[string]any{"grace_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10, "report_window_s": usageWindowS, "usage_late_s": 10, "lease_ms": usageReentry.Milliseconds()},
			"provider":  map[string]any{"address": serve(t, r.store)},
			"cloud_api": map[string]any{"address": serve(t, r.provider), "duties": []string{"unknown", "usage_report"}, "duty_per_s": 5},
		})
		assert.NilError(t, err)
		f.routers = append(f.routers, r)
		r.startReady(nil)
	}
	return f
}

// serve starts a server and returns its address.
func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// await waits until the provider has accepted a number of windows more, of any router or of others than one.
func (f *fleet) await(windows int, not *reporter) {
	f.t.Helper()
	before := len(f.api.Calls())
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		accepted := make(map[int64]bool)
		for _, c := range f.api.Calls()[before:] {
			if c.Accepted && (not == nil || c.Holder != not.name) {
				accepted[c.Window] = true
			}
		}
		if len(accepted) < windows {
			return poll.Continue("%d of %d windows", len(accepted), windows)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// holder returns the router that has sent the last report.
func (f *fleet) holder() *reporter {
	calls := f.api.Calls()
	for _, r := range f.routers {
		if r.name == calls[len(calls)-1].Holder {
			return r
		}
	}
	f.t.Fatalf("no holder %q", calls[len(calls)-1].Holder)
	return nil
}

func (f *fleet) kill(r *reporter) {
	r.signal(syscall.SIGKILL)
	_ = r.cmd.Wait() // the error says that it was killed
}

// Guards against Rule ONE broken by routers that end, stand still, or lose the store or the provider, and against reports
// that end with the holder: after each failure the provider gets reports, of another router where the holder is affected.
func TestUsageAfterFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *fleet, holder *reporter) (not *reporter)
	}{
		{"killed", func(f *fleet, holder *reporter) *reporter { f.kill(holder); return holder }},
		{"frozen", func(f *fleet, holder *reporter) *reporter {
			holder.signal(syscall.SIGSTOP)
			f.await(1, holder)
			holder.signal(syscall.SIGCONT)
			return nil
		}},
		{"frozen for a while", func(_ *fleet, holder *reporter) *reporter {
			holder.signal(syscall.SIGSTOP)
			time.Sleep(frozenTime)
			holder.signal(syscall.SIGCONT)
			return nil
		}},
		{"store out of reach", func(_ *fleet, holder *reporter) *reporter { holder.store.cut.Store(true); return holder }},
		{"provider out of reach", func(_ *fleet, holder *reporter) *reporter { holder.provider.cut.Store(true); return holder }},
		{"stopped", func(_ *fleet, holder *reporter) *reporter { holder.signal(syscall.SIGTERM); return holder }},
		{"store down", func(f *fleet, _ *reporter) *reporter {
			f.store.SetDown(true)
			time.Sleep(frozenTime)
			f.store.SetDown(false)
			return nil
		}},
		{"store slow", func(f *fleet, _ *reporter) *reporter { f.store.SetDelay(300 * time.Millisecond); return nil }},
		{"store restored", func(f *fleet, _ *reporter) *reporter {
			f.store.TakeCopy()
			f.await(2, nil)
			f.store.Restore()
			return nil
		}},
		{"store restored without the row", func(f *fleet, _ *reporter) *reporter {
			f.store.Remove("usage", "lease")
			f.store.TakeCopy()
			f.store.Restore()
			return nil
		}},
		{"write lost", func(f *fleet, _ *reporter) *reporter { f.store.FailNextWrite(metastore.LostRequest); return nil }},
		{"answer lost", func(f *fleet, _ *reporter) *reporter { f.store.FailNextWrite(metastore.LostResponse); return nil }},
		{"write late", func(f *fleet, _ *reporter) *reporter { f.store.FailNextWrite(metastore.LateWrite); return nil }},
		{"write late and killed", func(f *fleet, holder *reporter) *reporter {
			f.store.FailNextWrite(metastore.LateWrite)
			f.await(1, nil)
			f.kill(holder)
			return holder
		}},
		{"provider silent", func(f *fleet, _ *reporter) *reporter { return f.fault(cloudapi.Silent) }},
		{"provider busy", func(f *fleet, _ *reporter) *reporter { return f.fault(cloudapi.Busy) }},
		{"provider down", func(f *fleet, _ *reporter) *reporter { return f.fault(cloudapi.Dropping) }},
		{"older version", func(f *fleet, holder *reporter) *reporter {
			for _, r := range f.routers {
				if r != holder {
					// A router without this duty tells and hears as one of an older version does.
					f.kill(r)
					r.settings = bytes.Replace(r.settings, []byte(`"usage_report"`), []byte(`"other"`), 1)
					r.startReady(nil)
					break
				}
			}
			f.await(1, nil)
			f.kill(holder)
			return holder
		}},
		{"all killed", func(f *fleet, _ *reporter) *reporter {
			for _, r := range f.routers {
				f.kill(r)
			}
			for _, r := range f.routers {
				r.startReady(nil)
			}
			return nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, true)
			f.await(1, nil)
			not := c.fail(f, f.holder())
			f.await(2, not)
			assert.DeepEqual(t, f.api.Violations(), []string(nil))
		})
	}
}

// fault has the provider fail for frozenTime.
func (f *fleet) fault(fault cloudapi.Fault) *reporter {
	f.api.SetFault(fault)
	time.Sleep(frozenTime)
	f.api.SetFault(cloudapi.NoFault)
	return nil
}

// Guards against two holders where routers can't hear each other, and against a lease that is polled: the other router
// reads the row about once a lease.
func TestUsageWithoutPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, false)
	f.await(3, nil)
	holders := make(map[string]bool)
	for _, c := range f.api.Calls() {
		holders[c.Holder] = true
	}
	assert.Equal(t, len(holders), 1, "%v", holders)
	assert.DeepEqual(t, f.api.Violations(), []string(nil))
}
