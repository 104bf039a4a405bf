// Package platform is the client of the platform's table service and its list of hosts.
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

	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// The defaults of Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = time.Second
)

// Bounds of the client.
const (
	maxReplyBytes   = 64 << 20
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 16
)

// Options are the settings of a client. Zero durations are replaced by defaults.
type Options struct {
	// URL is the base of the platform's API, such as http://10.0.0.1:7000.
	URL string
	// Timeout bounds one request from its start to the whole reply.
	Timeout time.Duration
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	http      *http.Client
}

// New makes a client. It connects on the first request.
func New(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{
		options:   options,
		transport: transport,
		http:      &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do carries out one transaction. It returns StatusUnavailable only when
// nothing was written, and StatusLost whenever the request may have been sent
// and no whole reply came.
func (c *Client) Do(ctx context.Context, r table.Request) table.Reply {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(err, "table request not encoded", "peer", c.options.URL)
		return table.Reply{Status: table.StatusUnavailable}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := c.sendTransaction(ctx, body)
	if err == nil {
		return reply
	}
	klog.V(1).InfoS("table request failed", "peer", c.options.URL, "sent", connected.Load(), "err", err)
	if !connected.Load() {
		return table.Reply{Status: table.StatusUnavailable}
	}
	// The idle connections may have gone silent as well.
	c.transport.CloseIdleConnections()
	return table.Reply{Status: table.StatusLost}
}

func (c *Client) sendTransaction(ctx context.Context, body []byte) (table.Reply, error) {
	// A body that can't be rewound keeps the transport from sending a request twice.
	once := io.NopCloser(bytes.NewReader(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.options.URL+table.TransactPath, once)
	if err != nil {
		return table.Reply{}, errors.Wrapf(err, "transact: request to %s", c.options.URL)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return table.Reply{}, errors.Wrapf(err, "transact: send to %s", c.options.URL)
	}
	defer response.Body.Close()
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
		return table.Reply{}, errors.Wrapf(err, "transact: reply of %s", c.options.URL)
	}
	reply.Status = status
	return reply, nil
}

// Hosts returns the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]table.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.URL+table.HostsPath, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "hosts: request to %s", c.options.URL)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, errors.Wrapf(err, "hosts: send to %s", c.options.URL)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		discardBody(response.Body)
		return nil, errors.Newf("hosts: status %d from %s", response.StatusCode, c.options.URL)
	}
	data, err := readLimited(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "hosts: read reply of %s", c.options.URL)
	}
	return parseHosts(data)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
