package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/state/target"
)

// The errors of the object API that a caller decides on.
var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict says that the object's version was not the expected one.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnchanged says that the caller already has what was asked for.
	ErrUnchanged = errors.New("platform: not changed")
	// ErrUnavailable says that the call failed and may have taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
)

const (
	versionHeader  = "ETag"
	maxValueBytes  = 1 << 20
	maxConnections = 64
	watchGrace     = time.Second
	pathObjects    = "/objects/"
	pathWatch      = "/watch/"
	pathInstances  = "/instances"
)

// Version is an object's version as the platform names it; it is also the
// fencing number of a lease.
type Version int64

// Absent is the version of an object that does not exist.
const Absent Version = 0

// Object is one value with its version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// Client calls the platform; it is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.Client
}

// NewClient returns a client for a base address such as http://10.0.0.1:80.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{
		base:    base,
		timeout: timeout,
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnections,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       2 * maxValueBytes,
			RetryIfErr:                never,
		},
	}
}

// never keeps the library from sending a request twice.
func never(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Get reads an object.
func (c *Client) Get(key string) (Object, error) {
	return c.read(pathObjects+key, key, c.timeout)
}

// Watch waits until the object's version is over after, or for the time
// given, and returns the object as it then is.
func (c *Client) Watch(key string, after Version, wait time.Duration) (Object, error) {
	query := fmt.Sprintf("?after=%d&wait-ms=%d", after, wait.Milliseconds())
	return c.read(pathWatch+key+query, key, wait+watchGrace)
}

func (c *Client) read(path, key string, timeout time.Duration) (Object, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	if err := c.do(req, resp, timeout); err != nil {
		return Object{}, err
	}
	v, err := version(resp)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: append([]byte(nil), resp.Body()...), Version: v}, nil
}

// Put writes an object if its version is still the expected one (Absent for
// one that must not exist) and returns the new version.
func (c *Client) Put(key string, value []byte, expected Version) (Version, error) {
	if len(value) > maxValueBytes {
		return 0, fmt.Errorf("platform: value of %s has %d bytes, over %d", key, len(value), maxValueBytes)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI(c.base + pathObjects + key)
	condition(req, expected)
	req.SetBody(value)
	if err := c.do(req, resp, c.timeout); err != nil {
		return 0, err
	}
	return version(resp)
}

func condition(req *fasthttp.Request, expected Version) {
	if expected == Absent {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(expected), 10)))
}

// List returns the keys below a prefix, sorted.
func (c *Client) List(prefix string) ([]string, error) {
	return fetch[[]string](c, "/objects?prefix="+url.QueryEscape(prefix))
}

// Instances returns the platform's instance list, which lags.
func (c *Client) Instances() ([]target.Instance, error) {
	list, _, err := c.InstancesIfChanged("")
	return list, err
}

// InstancesIfChanged returns the instance list and its entity tag, or
// ErrUnchanged if the list still has the tag given. A platform that knows no
// tags answers with the whole list.
func (c *Client) InstancesIfChanged(tag string) ([]target.Instance, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + pathInstances)
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	if err := c.do(req, resp, c.timeout); err != nil {
		return nil, tag, err
	}
	var out []target.Instance
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return nil, tag, fmt.Errorf("%w: instance list: %v", ErrUnavailable, err)
	}
	return out, string(resp.Header.Peek(versionHeader)), nil
}

func fetch[T any](c *Client, path string) (T, error) {
	var out T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	if err := c.do(req, resp, c.timeout); err != nil {
		return out, err
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return out, fmt.Errorf("%w: %s: %v", ErrUnavailable, path, err)
	}
	return out, nil
}

func (c *Client) do(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotModified:
		return ErrUnchanged
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusPreconditionFailed:
		return ErrConflict
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode())
}

func version(resp *fasthttp.Response) (Version, error) {
	s, err := strconv.Unquote(string(resp.Header.Peek(versionHeader)))
	if err != nil {
		return 0, fmt.Errorf("%w: answer without a version", ErrUnavailable)
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: version %q", ErrUnavailable, s)
	}
	return Version(v), nil
}
