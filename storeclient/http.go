package storeclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/exchange"
	"banyanrun.example/banyanrun/wire"
)

// maxResponseBytes limits the response to a list. Values are at most 1 MiB each,
// and the longest list is the journal and snapshot of a data centre.
const maxResponseBytes = 256 << 20

// maxIdleConnections is the number of idle connections kept to the store. A host
// has a few calls and one watch open at a time.
const maxIdleConnections = 8

// Config configures a client.
type Config struct {
	// Address is the store's ip:port.
	Address string
	// CallTimeout limits each call. The limit of a watch is its wait plus
	// CallTimeout.
	CallTimeout time.Duration
}

// Client implements Store and HostLister over HTTP.
type Client struct {
	cfg  Config
	http *exchange.Client
	// hostListVersion is the version of the host list that was read last.
	hostListVersion atomic.Int64
}

var (
	_ Store      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
)

// New returns a client for the store at cfg.Address.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: exchange.NewClient(cfg.CallTimeout, maxIdleConnections)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) Result {
	var item wire.Item
	if outcome, err := c.call(ctx, http.MethodGet, keyPath(key), nil, &item, 0); err != nil {
		return Result{Outcome: outcome, Err: err}
	}
	return Result{Items: []wire.Item{item}, Revision: item.Revision}
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) Result {
	path := wire.PathKV + "?" + url.Values{"prefix": {prefix}}.Encode()
	return c.list(ctx, path, 0)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) Result {
	query := url.Values{
		"prefix":  {prefix},
		"since":   {strconv.FormatInt(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.list(ctx, wire.PathWatch+"?"+query.Encode(), wait)
}

func (c *Client) list(ctx context.Context, path string, extraTimeout time.Duration) Result {
	var list wire.ItemList
	outcome, err := c.call(ctx, http.MethodGet, path, nil, &list, extraTimeout)
	return Result{Outcome: outcome, Items: list.Items, Revision: list.Revision, Err: err}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, w Write) Result {
	if len(w.Value) > wire.MaxValueBytes {
		return Result{Outcome: core.StoreNotSent, Err: fmt.Errorf(
			"value of key %q has %d bytes; at most %d are allowed", w.Key, len(w.Value), wire.MaxValueBytes)}
	}
	body := wire.PutRequest{Value: w.Value, IfRevision: w.IfRevision, Lease: string(w.Lease)}
	var resp wire.PutResponse
	outcome, err := c.call(ctx, http.MethodPut, keyPath(w.Key), body, &resp, 0)
	result := Result{Outcome: outcome, Revision: resp.Revision, Err: err}
	var conflict *conflictError
	if errors.As(err, &conflict) && conflict.item.Revision != 0 {
		result.Items = []wire.Item{conflict.item}
		result.Revision = conflict.item.Revision
	}
	return result
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, keys []string) Result {
	outcome, err := c.call(ctx, http.MethodPost, wire.PathKVDelete, wire.DeleteRequest{Keys: keys}, nil, 0)
	return Result{Outcome: outcome, Err: err}
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, timeToLive time.Duration) LeaseResult {
	body := wire.LeaseRequest{TimeToLiveMS: timeToLive.Milliseconds()}
	return c.lease(ctx, http.MethodPost, wire.PathLeases, body)
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, lease core.LeaseID) LeaseResult {
	return c.lease(ctx, http.MethodPut, leasePath(lease), nil)
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, lease core.LeaseID) LeaseResult {
	outcome, err := c.call(ctx, http.MethodDelete, leasePath(lease), nil, nil, 0)
	return LeaseResult{Outcome: outcome, Lease: lease, Err: err}
}

func (c *Client) lease(ctx context.Context, method, path string, body any) LeaseResult {
	var lease wire.LeaseResponse
	outcome, err := c.call(ctx, method, path, body, &lease, 0)
	return LeaseResult{
		Outcome: outcome, Lease: core.LeaseID(lease.ID), Err: err,
		TimeToLive: time.Duration(lease.TimeToLiveMS) * time.Millisecond,
	}
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) HostsResult {
	var list wire.HostList
	path := wire.PathHosts + "?since=" + strconv.FormatInt(c.hostListVersion.Load(), 10)
	outcome, err := c.call(ctx, http.MethodGet, path, nil, &list, 0)
	result := HostsResult{Outcome: outcome, Unchanged: list.Unchanged, Err: err}
	if err == nil {
		c.hostListVersion.Store(list.Version)
	}
	result.Workers, result.Hosts = list.ToCore()
	return result
}

// call performs one call and decodes a successful response into out. The error is
// nil exactly when the outcome is StoreOK.
func (c *Client) call(ctx context.Context, method, path string, in, out any, extraTimeout time.Duration) (core.StoreOutcome, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return core.StoreNotSent, fmt.Errorf("encode %s %s: %w", method, path, err)
		}
	}
	resp, failure := c.http.Do(ctx, exchange.Request{
		Method: method, URL: "http://" + c.cfg.Address + path, Body: body,
		Timeout: c.cfg.CallTimeout + extraTimeout, MaxBodyBytes: maxResponseBytes,
	})
	if failure != nil {
		if failure.Written {
			return core.StoreInDoubt, fmt.Errorf("%s %s: %w", method, path, failure)
		}
		return core.StoreNotSent, fmt.Errorf("%s %s: %w", method, path, failure)
	}
	outcome, err := decodeOutcome(resp, out)
	if err != nil {
		return outcome, fmt.Errorf("%s %s: %w", method, path, err)
	}
	return core.StoreOK, nil
}

// conflictError is the error of a compare-and-swap that found another revision.
// It holds the current item.
type conflictError struct{ item wire.Item }

func (e *conflictError) Error() string {
	return fmt.Sprintf("the key has revision %d", e.item.Revision)
}

// decodeOutcome returns the outcome of a call that got a complete response, and
// decodes the body of a successful one into out.
func decodeOutcome(resp *exchange.Response, out any) (core.StoreOutcome, error) {
	switch resp.Status {
	case http.StatusOK, http.StatusNoContent:
		if out == nil {
			return core.StoreOK, nil
		}
		if err := json.Unmarshal(resp.Body, out); err != nil {
			return core.StoreInDoubt, fmt.Errorf("decode response: %w", err)
		}
		return core.StoreOK, nil
	case http.StatusConflict:
		conflict := &conflictError{}
		if err := json.Unmarshal(resp.Body, &conflict.item); err != nil {
			return core.StoreInDoubt, fmt.Errorf("decode conflict: %w", err)
		}
		return core.StoreConflict, conflict
	case http.StatusNotFound:
		return core.StoreNotFound, errors.New("the key or lease does not exist")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return core.StoreNotSent, fmt.Errorf("the store refused the call with status %d", resp.Status)
	}
	return core.StoreInDoubt, fmt.Errorf("unexpected status %d", resp.Status)
}

// keyPath returns the path of a key. It escapes the key but keeps its slashes.
func keyPath(key string) string {
	return (&url.URL{Path: wire.PathKV + "/" + key}).EscapedPath()
}

func leasePath(lease core.LeaseID) string {
	return wire.PathLeases + "/" + url.PathEscape(string(lease))
}
