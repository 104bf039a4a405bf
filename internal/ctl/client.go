package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
)

// client is a client of one entry's operator API.
type client struct {
	http   *http.Client
	server string
	token  string
}

// rejection is the error of a request that an entry rejected, with its HTTP status.
type rejection struct {
	status  int
	message string
}

// Error returns the entry's message.
func (r *rejection) Error() string { return "the entry refused: " + r.message }

// call sends a request and decodes the reply if its status is 200 or one of those
// expected. Any other status is returned as a *rejection.
func call[T any](ctx context.Context, c *client, method, path string, body any, expected ...int) (T, error) {
	var out T
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return out, errors.Wrap(err, "encode the request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.server+path, reader)
	if err != nil {
		return out, errors.Wrap(err, "build the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return out, errors.Wrapf(err, "step=call peer=%s", c.server)
	}
	defer response.Body.Close()
	for _, status := range append(expected, http.StatusOK) {
		if response.StatusCode == status {
			err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&out)
			return out, errors.Wrapf(err, "step=reply peer=%s", c.server)
		}
	}
	var errorReply operatorapi.ErrorReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&errorReply); err != nil || errorReply.Error == "" {
		errorReply.Error = response.Status
	}
	return out, &rejection{status: response.StatusCode, message: errorReply.Error}
}

func (c *client) documents(ctx context.Context) (operatorapi.Documents, error) {
	return call[operatorapi.Documents](ctx, c, http.MethodGet, operatorapi.PathDocuments, nil)
}

func (c *client) apply(ctx context.Context, in operatorapi.ApplyRequest) (operatorapi.ApplyReply, error) {
	return call[operatorapi.ApplyReply](ctx, c, http.MethodPost, operatorapi.PathApply, in,
		http.StatusConflict, http.StatusUnprocessableEntity, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
}

// order sends an operator's order. Replies with status 404, 409 and 504 are results
// too: the endpoint is not declared, a later order or change is in force, or the
// agent did not answer in time. A 404 for an unknown order can't occur, because all
// values of operatorapi.Order are known to the entry.
func (c *client) order(ctx context.Context, order operatorapi.Order, endpoint string, change string) (operatorapi.OrderReply, error) {
	path := strings.NewReplacer("{endpoint}", url.PathEscape(endpoint), "{order}", string(order)).Replace(operatorapi.PathOrder)
	body := operatorapi.OrderRequest{Change: domain.ChangeID(change)}
	return call[operatorapi.OrderReply](ctx, c, http.MethodPost, path, body, http.StatusGatewayTimeout, http.StatusNotFound, http.StatusConflict)
}

// show returns the settings of an account's class. An empty class means the
// account's default class.
func (c *client) show(ctx context.Context, account, class string) (operatorapi.SettingsReply, error) {
	if class == "" {
		class = operatorapi.DefaultClass
	}
	path := strings.NewReplacer("{account}", url.PathEscape(account), "{class}", url.PathEscape(class)).Replace(operatorapi.PathSettings)
	return call[operatorapi.SettingsReply](ctx, c, http.MethodGet, path, nil)
}

func (c *client) status(ctx context.Context) (operatorapi.Status, error) {
	return call[operatorapi.Status](ctx, c, http.MethodGet, operatorapi.PathStatus, nil)
}

// audit returns the page of the audit trail that follows a revision.
func (c *client) audit(ctx context.Context, after domain.Revision) (operatorapi.AuditReply, error) {
	path := operatorapi.PathAudit + "?after=" + strconv.FormatUint(uint64(after), 10)
	return call[operatorapi.AuditReply](ctx, c, http.MethodGet, path, nil)
}
