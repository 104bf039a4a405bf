// Package platform is the client for the platform that a deployment runs on: its
// transactional table service, which stores the deployment's shared state, and its
// list of hosts. Entries, agents and the capacity measurement use it. Its only
// state is its connections.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/silence"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// Defaults of Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = time.Second
)

// Limits of replies and connections.
const (
	maxReplyBytes   = 64 << 20
	maxHeadBytes    = 64 << 10
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 16
)

// Options configures a Client. Zero and negative durations are replaced by
// defaults.
type Options struct {
	// URL is the base URL of the platform's API, such as http://10.0.0.1:7000.
	URL string
	// Timeout limits the time until the reply begins and the time without any byte of it. The size of a reply grows with
	// what is stored, so that no limit of the whole call fits.
	Timeout time.Duration
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	http      *http.Client
}

// New returns a client. It connects on the first request.
func New(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxResponseHeaderBytes: maxHeadBytes,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
	}
	return &Client{
		options:   options,
		transport: transport,
		http:      &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do executes one transaction. The reply's status is StatusUnavailable only if
// nothing was written, and StatusLost if the request may have been sent but no
// valid reply was received, so that it may have been executed.
func (c *Client) Do(ctx context.Context, r table.Request) table.Reply {
	ctx, guard := silence.New(ctx, 0, c.options.Timeout)
	defer guard.Stop()
	body, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(err, "encoding the table request failed", "peer", c.options.URL)
		return table.Reply{Status: table.StatusUnavailable}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := c.sendTransaction(ctx, guard, body)
	if err == nil {
		return reply
	}
	klog.V(1).InfoS("table request failed", "peer", c.options.URL, "sent", connected.Load(), "err", err)
	if !connected.Load() {
		return table.Reply{Status: table.StatusUnavailable}
	}
	// The other idle connections may be dead as well.
	c.transport.CloseIdleConnections()
	return table.Reply{Status: table.StatusLost}
}

func (c *Client) sendTransaction(ctx context.Context, guard *silence.Guard, body []byte) (table.Reply, error) {
	// http.Transport resends requests whose body can be rewound. Hiding the
	// *bytes.Reader prevents that.
	unrewindable := guard.Body(io.NopCloser(bytes.NewReader(body)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.options.URL+table.TransactPath, unrewindable)
	if err != nil {
		return table.Reply{}, errors.Wrapf(err, "transact: build request to %s", c.options.URL)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return table.Reply{}, errors.Wrapf(err, "transact: send request to %s", c.options.URL)
	}
	defer response.Body.Close()
	response.Body = guard.Body(response.Body)
	return c.parseResponse(response)
}

func (c *Client) parseResponse(response *http.Response) (table.Reply, error) {
	switch response.StatusCode {
	case http.StatusOK:
		return c.decodeReply(response.Body, table.StatusOK)
	case http.StatusConflict:
		return c.decodeReply(response.Body, table.StatusConflict)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		discardBody(response.Body)
		return table.Reply{Status: table.StatusUnavailable}, nil
	default:
		discardBody(response.Body)
		return table.Reply{}, errors.Newf("transact: status %d from %s", response.StatusCode, c.options.URL)
	}
}

func (c *Client) decodeReply(body io.Reader, status table.Status) (table.Reply, error) {
	data, err := readLimited(body)
	if err != nil {
		return table.Reply{}, errors.Wrapf(err, "transact: read reply of %s", c.options.URL)
	}
	reply, err := ParseReply(data)
	if err != nil {
		return table.Reply{}, errors.Wrapf(err, "transact: parse reply of %s", c.options.URL)
	}
	reply.Status = status
	return reply, nil
}

// Hosts returns the platform's list of hosts. Hosts in unknown states are left out.
func (c *Client) Hosts(ctx context.Context) ([]table.Host, error) {
	ctx, guard := silence.New(ctx, 0, c.options.Timeout)
	defer guard.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.URL+table.HostsPath, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "hosts: build request to %s", c.options.URL)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, errors.Wrapf(err, "hosts: send request to %s", c.options.URL)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		discardBody(response.Body)
		return nil, errors.Newf("hosts: status %d from %s", response.StatusCode, c.options.URL)
	}
	data, err := readLimited(guard.Body(response.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "hosts: read reply of %s", c.options.URL)
	}
	return parseHosts(data)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
