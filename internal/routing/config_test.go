package routing

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testConfig() *Config {
	routes := []*Route{
		{Name: "root", Host: "a.example", Prefix: "/", Tier: 2, WeightedServices: []WeightedService{{"s", 1}}},
		{Name: "deep", Host: "A.example", Prefix: "/x/y/", Tier: 0, WeightedServices: []WeightedService{{"s", 90}, {"t", 10}}},
		{Name: "middle", Host: "a.example", Prefix: "/x/", Tier: 1, WeightedServices: []WeightedService{{"s", 1}}},
	}
	accounts := []*Account{
		{Name: "first", Keys: []string{"k1", "k2"}, Tier: 0, HasTier: true},
		{Name: "second", Keys: []string{"k3"}, Tier: 1, HasTier: true},
		{Name: "plain", Keys: []string{"k4"}},
	}
	return New(7, Limits{}, routes, []*Service{{Name: "s"}}, AccountList{Present: true, Accounts: accounts})
}

func TestLongestPrefixWins(t *testing.T) {
	c := testConfig()
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/y": "middle", "/x/": "middle", "/x": "root", "/": "root"} {
		assert.Equal(t, c.Match("a.EXAMPLE:8080", path).Name, want, path)
	}
	assert.Assert(t, c.Match("b.example", "/") == nil)
	assert.Assert(t, c.Match("a.example", "") == nil)
}

func TestAccountByKey(t *testing.T) {
	c := testConfig()
	assert.Equal(t, c.Account("k2").Name, "first")
	assert.Assert(t, c.Account("") == nil)
	assert.Assert(t, c.Account("unknown") == nil)
}

// The tier of the account takes precedence over that of the route.
func TestRankOrdersAccountsThenRoutes(t *testing.T) {
	c := testConfig()
	deep, root := c.Match("a.example", "/x/y/z"), c.Match("a.example", "/")
	first, second := c.Account("k1"), c.Account("k3")
	assert.Assert(t, c.Rank(deep, first) < c.Rank(root, first))
	assert.Assert(t, c.Rank(root, first) < c.Rank(deep, second))
	assert.Assert(t, c.Rank(deep, second) < c.Rank(root, second))
	assert.Equal(t, c.Rank(root, c.Account("k4")), root.Tier)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testConfig().Match("a.example", "/x/y/")
		fraction := rapid.Float64Range(0, 0.999999).Draw(t, "point")
		want := "s"
		if fraction >= 0.9 {
			want = "t"
		}
		assert.Equal(t, r.PickService(fraction), want)
	})
	assert.Equal(t, (&Route{}).PickService(0.5), "")
}
