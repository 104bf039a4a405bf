package table

// TransactPath is the URL path at which the table service accepts a Request and
// returns a Reply.
const TransactPath = "/v1/transact"

// HostsPath is the URL path at which the platform lists its hosts.
const HostsPath = "/v1/hosts"

// HostState is the state of a host in the platform's host list.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
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
