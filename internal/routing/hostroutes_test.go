package routing

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The route of a path is the one that a search through all routes finds: the longest prefix, the first of equal ones.
func TestMatchEqualsSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([ab]{1,2}/?){0,3}`)
		var routes []*Route
		for i, p := range rapid.SliceOfN(prefix, 0, 12).Draw(t, "prefixes") {
			routes = append(routes, &Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: p})
		}
		path := rapid.StringMatching(`(/([ab]{1,2}/?){0,4})?`).Draw(t, "path")
		var want *Route
		for _, r := range routes {
			if strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		got := New(1, Limits{}, routes, nil, AccountList{}).Match("a.example", path)
		assert.Assert(t, got == want, "path %q: %v, want %v", path, got, want)
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{40, 2840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var routes []*Route
			for i := range n {
				routes = append(routes, &Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: fmt.Sprintf("/area-%d/idle%d/", i%7, i)})
			}
			routes = append(routes, &Route{Name: "used", Host: "a.example", Prefix: "/used/"})
			c := New(1, Limits{}, routes, nil, AccountList{})
			for b.Loop() {
				if c.Match("a.example:80", "/used/by/callers") == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
