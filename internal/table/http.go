package table

// TransactPath is the URL path at which the table service accepts a Request and
// returns a Reply.
const TransactPath = "/v1/transact"

// HostsPath is the URL path at which the platform lists its hosts.
const HostsPath = "/v1/hosts"

// HostState is the state of a host in the platform's host list.
type HostState string

const (
	// HostLive is the state of a host in normal operation.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that the platform is about to remove. Entries
	// send new calls to endpoints on it only if there is no other endpoint.
	HostLeaving HostState = "leaving"
)

// Host is one host in the platform's host list. The list may be out of date.
type Host struct {
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// Hosts is the platform's host list.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}
