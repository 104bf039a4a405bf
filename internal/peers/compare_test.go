package peers

import (
	"net/netip"

	"github.com/google/go-cmp/cmp"
)

func addrComparer() cmp.Option {
	return cmp.Comparer(func(a, b netip.Addr) bool { return a == b })
}
