package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// accountLists are the forms that the list of client accounts of a configuration can have.
var accountLists = []routing.AccountList{
	{},
	{Present: true},
	{Present: true, Accounts: []*routing.Account{{Name: "a"}}},
	{Present: true, Accounts: []*routing.Account{{Name: "a", Keys: []string{"key"}}}},
}

// Guards against requests without a known key once any configuration had client accounts, whatever later ones have lost, at gateways that
// have had such a configuration in force or have heard of it, and against keys that are asked for though there never were any. Gateways
// start again and miss configurations, and the store brings back earlier ones.
func TestKeysStayRequired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := func() *Gateway { return New(Settings{KeyValidity: time.Minute}, nil, &countingSource{}) }
		gateways := []*Gateway{start(), start(), start()}
		knows := make([]bool, len(gateways)) // whether it has had client accounts in force, or has heard of them
		var stored []routing.AccountList     // by version
		listed := false
		gateway := func(label string) int { return rapid.IntRange(0, len(gateways)-1).Draw(t, label) }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				list := rapid.SampledFrom(accountLists).Draw(t, "list")
				stored, listed = append(stored, list), listed || list.Present
			case 2:
				i := gateway("restarted")
				gateways[i], knows[i] = start(), false
			case 3, 4:
				if len(stored) == 0 {
					continue
				}
				i, version := gateway("reads"), rapid.IntRange(1, len(stored)).Draw(t, "version")
				if version < len(stored) {
					gateways[i].ConfigurationRestored()
				}
				before := gateways[i].config.Load()
				gateways[i].ConfigurationRead(routing.New(int64(version), routing.Limits{}, nil, nil, stored[version-1]))
				knows[i] = knows[i] || stored[version-1].Present && gateways[i].config.Load() != before
			default:
				from, to := gateway("tells"), gateway("hears")
				c := gateways[from].Confirmation()
				gateways[to].PeerConfirmation("p", c)
				knows[to] = knows[to] || c.KeyRequired
				config := gateways[from].config.Load()
				assert.Assert(t, !knows[from] || c.KeyRequired || config != nil && config.RequiresKey, "neither its word nor its configuration tells of client accounts")
			}
			for i, g := range gateways {
				config := g.config.Load()
				if config == nil {
					continue
				}
				assert.Equal(t, g.requiresKey(config), knows[i], "gateway %d", i)
				assert.Assert(t, listed || !knows[i], "there never were client accounts")
			}
		}
	})
}

// A gateway that has just started under a configuration without client accounts waits for what its peers know, unless there are none.
func TestKeyRequirementOfEarlierConfigurations(t *testing.T) {
	peer := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:6901")}
	for _, c := range []struct {
		name       string
		firstStart bool
		seeds      []netip.AddrPort
		age        time.Duration
		list       routing.AccountList
		heard      bool
		unknown    bool
	}{
		{name: "started again", seeds: peer, unknown: true},
		{name: "started a while ago", seeds: peer, age: keyHearsayTime},
		{name: "first start", seeds: peer, firstStart: true},
		{name: "no peers"},
		{name: "client accounts", seeds: peer, list: routing.AccountList{Present: true}},
		{name: "a peer has told", seeds: peer, heard: true},
	} {
		g := New(Settings{FirstStart: c.firstStart, PeerAddress: netip.MustParseAddrPort("127.0.0.1:6901"), PeerSeeds: c.seeds}, nil, &countingSource{})
		g.started = g.started.Add(-c.age)
		if c.heard {
			g.PeerConfirmation("p", confirmation.Confirmation{KeyRequired: true})
		}
		config := routing.New(1, routing.Limits{}, nil, nil, c.list)
		g.ConfigurationRead(config)
		assert.Equal(t, g.keyRequirementUnknown(config), c.unknown, c.name)
		assert.Equal(t, g.requiresKey(config), c.list.Present || c.heard, c.name)
		assert.Assert(t, !c.unknown || !g.isReady(), c.name)
	}
}
