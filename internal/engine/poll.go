package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Paths of an endpoint's load report, cache events and orders.
const (
	loadPath        = "/load"
	cacheEventsPath = "/cache-events"
	ordersPath      = "/orders"
)

// maxReportBytes limits how much of a load report or a list of cache events is read.
const maxReportBytes = 4 << 20

// loadReport is an endpoint's load report.
type loadReport struct {
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
}

// cacheEvent reports that a prompt prefix entered or left the cache. Seq grows
// with each event.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Cached bool   `json:"cached"`
}

type cacheEventList struct {
	Events []cacheEvent `json:"events"`
}

// orderRequest is an order to the endpoint, such as loading a model. An endpoint
// rejects a fencing number lower than one that it has accepted.
type orderRequest struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Fencing uint64 `json:"fencing"`
}

// PollReports requests load reports until the context is cancelled.
func (c *Client) PollReports(ctx context.Context, ev Events) {
	c.poll(ctx, c.options.ReportInterval, func(ctx context.Context) error {
		report, err := getJSON[loadReport](ctx, c, loadPath)
		if err != nil {
			return err
		}
		ev.Report(report.Running, report.Queued)
		return nil
	})
}

// PollCacheEvents requests new cache events until the context is cancelled.
func (c *Client) PollCacheEvents(ctx context.Context, ev Events) {
	after := uint64(0)
	c.poll(ctx, c.options.CacheInterval, func(ctx context.Context) error {
		list, err := getJSON[cacheEventList](ctx, c, cacheEventsPath+"?after="+strconv.FormatUint(after, 10))
		if err != nil {
			return err
		}
		for _, event := range list.Events {
			after = max(after, event.Seq)
			ev.CacheEvent(event.Prefix, event.Cached)
		}
		return nil
	})
}

// poll calls fetch immediately and then at an interval until the context is
// cancelled. Errors are logged, and the idle connections closed.
func (c *Client) poll(ctx context.Context, interval time.Duration, fetch func(context.Context) error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		err := fetch(ctx)
		if err != nil && ctx.Err() == nil {
			klog.V(2).InfoS("poll of endpoint failed", "peer", c.options.Address, "err", err)
			c.pooled.CloseIdleConnections()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// getJSON requests and decodes a JSON value.
func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return value, errors.Wrapf(err, "get %s: build request to %s", path, c.options.Address)
	}
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return value, errors.Wrapf(err, "get %s: send request to %s", path, c.options.Address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, errors.Newf("get %s: status %d from %s", path, response.StatusCode, c.options.Address)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&value)
	return value, errors.Wrapf(err, "get %s: decode reply of %s", path, c.options.Address)
}

// Order sends an order with its fencing number. It returns immediately;
// OrderEnd follows, with the same order ID.
func (c *Client) Order(orderID uint64, kind, name string, fencing uint64, ev Events) {
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		fenced, err := c.sendOrder(orderRequest{Kind: kind, Name: name, Fencing: fencing})
		if err != nil {
			ev.OrderEnd(orderID, false, fenced, err.Error())
			return
		}
		ev.OrderEnd(orderID, true, false, "")
	}()
}

// sendOrder sends an order exactly once. fenced reports whether the endpoint
// rejected the fencing number as outdated.
func (c *Client) sendOrder(o orderRequest) (fenced bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.OrderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return false, errors.Wrap(err, "order: encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(ordersPath), &singleReadBody{unread: body})
	if err != nil {
		return false, errors.Wrapf(err, "order: build request to %s", c.options.Address)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.unpooled.RoundTrip(request)
	if err != nil {
		return false, errors.Wrapf(err, "order: send request to %s", c.options.Address)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return false, nil
	}
	fenced = response.StatusCode == http.StatusConflict
	text := errorMessage(response.Body)
	return fenced, errors.Newf("order: status %d from %s: %s", response.StatusCode, c.options.Address, text)
}
