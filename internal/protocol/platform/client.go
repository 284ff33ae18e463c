package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bluebellcrank/internal/protocol/answers"
	"bluebellcrank/internal/protocol/nesting"
	"bluebellcrank/internal/state/target"
)

// Errors of the object API that callers handle.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict reports that the object does not have the expected version.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnchanged reports that the caller already has the current content.
	ErrUnchanged = errors.New("platform: not changed")
	// ErrUnavailable reports that the call failed and may still have taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrRestored reports that the store was restored from a copy since the object was
	// read: its versions go back and are given out again.
	ErrRestored = fmt.Errorf("%w: the store was restored from a copy since the object was read", ErrConflict)
)

const (
	etagHeader         = "ETag"
	maxValueBytes      = 1 << 20
	maxConnsPerHost    = 64
	watchTimeoutMargin = time.Second
	pathObjects        = "/objects/"
	pathWatch          = "/watch/"
	pathInstances      = "/instances"
)

// Object is a stored value with its key and position.
type Object struct {
	Key      string
	Value    []byte
	Position Position
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *fasthttp.Client
	newest  *generation
}

// NewClient returns a client for a base URL such as http://10.0.0.1:80. The timeout
// applies to each call other than Watch.
func NewClient(baseURL string, timeout time.Duration) *Client {
	return &Client{
		baseURL: baseURL,
		timeout: timeout,
		newest:  newGeneration(),
		http: &fasthttp.Client{
			DialTimeout:               answers.DialTimeout,
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       2 * maxValueBytes,
			RetryIfErr:                neverRetry,
		},
	}
}

// neverRetry prevents the HTTP library from sending a request twice.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Get reads an object. With ErrNotFound, it returns the position of the missing object.
func (c *Client) Get(key string) (Object, error) {
	return c.read(pathObjects+key, key, c.timeout)
}

// Watch waits until the object's version is greater than after, at most for the
// time wait, and returns the object in its state at that time. A position of an earlier
// generation of the store counts as none. Watch returns ErrRestored as soon as any call
// of the client finds that the store was restored.
func (c *Client) Watch(key string, after Position, wait time.Duration) (Object, error) {
	current, changed := c.newest.get()
	version := after.Version
	if after.Generation != current {
		version = 0
	}
	query := fmt.Sprintf("?after=%d&wait-ms=%d", version, wait.Milliseconds())
	type result struct {
		object Object
		err    error
	}
	done := make(chan result, 1)
	go func() {
		o, err := c.read(pathWatch+key+query, key, wait+watchTimeoutMargin)
		done <- result{o, err}
	}()
	select {
	case r := <-done:
		return r.object, r.err
	case <-changed:
		if current != anyGeneration {
			return Object{}, ErrRestored
		}
		r := <-done
		return r.object, r.err
	}
}

// Generation returns the store's newest generation that an answer had, and a channel that
// is closed once there is a newer one. It is negative while no answer had any, and 0
// before the store is restored for the first time.
func (c *Client) Generation() (int64, <-chan struct{}) { return c.newest.get() }

// LearnGeneration records a generation of the store that another process has seen.
func (c *Client) LearnGeneration(generation int64) { c.newest.record(generation) }

func (c *Client) read(path, key string, timeout time.Duration) (Object, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + path)
	err := c.do(req, resp, timeout)
	if errors.Is(err, ErrNotFound) {
		return Object{Key: key, Position: Position{Generation: responseGeneration(resp)}}, err
	}
	if err != nil {
		return Object{}, err
	}
	p, err := responsePosition(resp)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: append([]byte(nil), resp.Body()...), Position: p}, nil
}

// Put writes an object if it is still at the expected position (Absent if the object
// must not exist yet) and returns the new position. It returns ErrRestored if the
// position is one of an earlier generation of the store.
func (c *Client) Put(key string, value []byte, expected Position) (Position, error) {
	if len(value) > maxValueBytes {
		return Position{}, fmt.Errorf("platform: value of %s has %d bytes, more than the limit of %d", key, len(value), maxValueBytes)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI(c.baseURL + pathObjects + key)
	setPrecondition(req, expected)
	req.SetBody(value)
	if current, _ := c.newest.get(); expected.isBefore(current) {
		return Position{}, ErrRestored
	}
	err := c.do(req, resp, c.timeout)
	if errors.Is(err, ErrConflict) && expected.isBefore(responseGeneration(resp)) {
		return Position{}, ErrRestored
	}
	if err != nil {
		return Position{}, err
	}
	return responsePosition(resp)
}

func setPrecondition(req *fasthttp.Request, expected Position) {
	if expected.Generation != anyGeneration {
		req.Header.Set(generationHeader, strconv.FormatInt(expected.Generation, 10))
	}
	if expected.Version == 0 {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(expected.Version), 10)))
}

// List returns the keys with a prefix, sorted.
func (c *Client) List(prefix string) ([]string, error) {
	return getJSON[[]string](c, "/objects?prefix="+url.QueryEscape(prefix))
}

// InstanceList is the platform's instance list as it was read. Its fields are exported,
// because they are plain decoded values.
type InstanceList struct {
	Instances []target.Instance
	// Invalid has one error for each element that describes no instance.
	Invalid []error
	// Tag identifies the content; empty if the platform supports no entity tags.
	Tag string
}

// Instances returns the platform's instance list, which can be out of date, or
// ErrUnchanged if the list still has the given tag. A platform that does not support
// entity tags always returns the list.
func (c *Client) Instances(tag string) (InstanceList, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + pathInstances)
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	if err := c.do(req, resp, c.timeout); err != nil {
		return InstanceList{Tag: tag}, err
	}
	list, err := decodeInstances(resp.Body())
	if err != nil {
		return InstanceList{Tag: tag}, fmt.Errorf("%w: instance list: %v", ErrUnavailable, err)
	}
	list.Tag = string(resp.Header.Peek(etagHeader))
	return list, nil
}

// decodeInstances decodes each element by itself, so that one that another writer has
// stored in a form of its own does not hide the others.
func decodeInstances(text []byte) (InstanceList, error) {
	var elements []json.RawMessage
	if err := json.Unmarshal(nesting.Cut(text), &elements); err != nil {
		return InstanceList{}, err
	}
	var out InstanceList
	for n, element := range elements {
		instance, err := decodeInstance(element)
		if err != nil {
			out.Invalid = append(out.Invalid, fmt.Errorf("platform: instance %q, element %d of the list: %w", instance.ID, n, err))
			continue
		}
		out.Instances = append(out.Instances, instance)
	}
	return out, nil
}

func decodeInstance(text []byte) (target.Instance, error) {
	var i target.Instance
	if err := json.Unmarshal(text, &i); err != nil {
		return i, err
	}
	if nesting.IsCut(text) {
		return i, nesting.ErrTooDeep
	}
	if i.ID == "" {
		return i, errors.New("the id is missing")
	}
	for _, address := range []string{i.Peer, i.Traffic} {
		if address == "" {
			continue
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return i, err
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return i, fmt.Errorf("%q has no port from 1 to 65535", address)
		}
	}
	return i, nil
}

func getJSON[T any](c *Client, path string) (T, error) {
	var out T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + path)
	if err := c.do(req, resp, c.timeout); err != nil {
		return out, err
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return out, fmt.Errorf("%w: %s: %v", ErrUnavailable, path, err)
	}
	return out, nil
}

// do makes a call on a connection of its own: answers name no call, and one to an earlier
// call may come again.
func (c *Client) do(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	req.SetConnectionClose()
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if g := responseGeneration(resp); !c.newest.record(g) {
		return fmt.Errorf("%w: answer of generation %d of the store, which has been restored since", ErrUnavailable, g)
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

func responsePosition(resp *fasthttp.Response) (Position, error) {
	s, err := strconv.Unquote(string(resp.Header.Peek(etagHeader)))
	if err != nil {
		return Position{}, fmt.Errorf("%w: response has no valid version", ErrUnavailable)
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("%w: response has invalid version %q", ErrUnavailable, s)
	}
	return Position{Generation: responseGeneration(resp), Version: Version(v)}, nil
}
