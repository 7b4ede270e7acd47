package config

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/status"
)

const (
	maxDocumentBytes = 1 << 20 // the configuration service holds values of up to 1 MB
	defaultTimeout   = 2 * time.Second
	versionHeader    = "Version"
)

// Settings are the parameters of a Client.
type Settings struct {
	// BaseURLs are the base URLs of the service's replicas, such as http://10.0.0.9:8500.
	BaseURLs []string
	// Timeout limits a read, and the time that a watch takes beyond its wait; zero means 2 s.
	Timeout time.Duration
	// Client sends the requests; nil means a client that opens a connection for each request and uses no proxy.
	Client *http.Client
}

// BaseURLError reports a base URL that cannot be used.
type BaseURLError struct {
	url string
}

// Error returns the URL and the remedy.
func (bue *BaseURLError) Error() string {
	return fmt.Sprintf("%q is not a base URL of the configuration service; give one such as http://10.0.0.9:8500", bue.url)
}

// UnavailableError reports a replica that did not send a complete answer.
type UnavailableError struct {
	url   string
	cause error
}

// Error returns the replica, the cause and the remedy.
func (una *UnavailableError) Error() string {
	return fmt.Sprintf("the configuration service at %s does not answer: %v; check that it runs and that the network reaches it", una.url, una.cause)
}

// Unwrap returns the cause.
func (una *UnavailableError) Unwrap() error { return una.cause }

// StatusError reports a replica that answered with an unexpected status.
type StatusError struct {
	url    string
	status int
}

// Status returns the HTTP status code.
func (ste *StatusError) Status() int { return ste.status }

// Error returns the replica, the status and the remedy.
func (ste *StatusError) Error() string {
	remedy := "check the log of the configuration service"
	if ste.status == http.StatusNotFound {
		remedy = "publish the document, or correct the base URL"
	}
	return fmt.Sprintf("the configuration service at %s answered %d; %s", ste.url, ste.status, remedy)
}

// DocumentError reports an answer that is not a valid document.
type DocumentError struct {
	url    string
	detail string
	remedy string
}

// Error returns the replica, the fault and the remedy.
func (doe *DocumentError) Error() string {
	return fmt.Sprintf("the configuration service at %s %s; %s", doe.url, doe.detail, doe.remedy)
}

// Client is a core.ConfigSource over HTTP. It uses one replica until that one fails, and then the next. One call asks
// only one replica, because the service counts all calls and the caller retries with pauses.
type Client struct {
	urls    []string
	timeout time.Duration
	client  *http.Client
	current atomic.Uint32 // index of the replica in use, modulo the number of replicas
}

var _ core.ConfigSource = (*Client)(nil)

// New returns a client without opening a connection.
func New(set Settings) (*Client, error) {
	cli := &Client{timeout: set.Timeout, client: set.Client}
	if cli.timeout == 0 {
		cli.timeout = defaultTimeout
	}
	if cli.client == nil {
		cli.client = newHTTPClient()
	}
	for _, base := range set.BaseURLs {
		parsed, err := url.Parse(base)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, &BaseURLError{url: base}
		}
		cli.urls = append(cli.urls, strings.TrimSuffix(base, "/"))
	}
	if len(cli.urls) == 0 {
		return nil, &BaseURLError{}
	}
	return cli, nil
}

// newHTTPClient returns a client that opens a connection for each request: a connection kept open may be dead without
// notice, and a new one costs about 1 ms at a few requests per second.
func newHTTPClient() *http.Client {
	tra := http.DefaultTransport.(*http.Transport).Clone()
	tra.Proxy = nil
	tra.DisableKeepAlives = true
	tra.DialContext = checkedDial(tra.DialContext)
	tra.DialTLSContext = checkedDial((&tls.Dialer{}).DialContext)
	return &http.Client{Transport: tra}
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// checkedDial returns a dial function whose connections fail when an answer has no status of HTTP.
func checkedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return status.NewConn(conn), nil
	}
}

// Read returns the current version of a document.
func (cli *Client) Read(ctx context.Context, name string, _ uint64) (core.Document, error) {
	return cli.get(ctx, name, "", cli.timeout)
}

// WaitChange returns the first version of a document after the given one, or core.ErrUnchanged when the wait ends
// first.
func (cli *Client) WaitChange(ctx context.Context, name string, after uint64, wait time.Duration) (core.Document, error) {
	seconds := int64((wait + time.Second - 1) / time.Second)
	query := fmt.Sprintf("?after=%d&wait=%d", after, seconds)
	return cli.get(ctx, name, query, time.Duration(seconds)*time.Second+cli.timeout)
}

func (cli *Client) get(parent context.Context, name, query string, timeout time.Duration) (core.Document, error) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	idx := cli.current.Load()
	base := cli.urls[int(idx)%len(cli.urls)]
	doc, err := cli.getFrom(ctx, base, name, query)
	if err != nil && !errors.Is(err, core.ErrUnchanged) && parent.Err() == nil {
		cli.current.CompareAndSwap(idx, idx+1)
	}
	return doc, err
}

func (cli *Client) getFrom(ctx context.Context, base, name, query string) (core.Document, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/values/"+url.PathEscape(name)+query, http.NoBody)
	if err != nil {
		return core.Document{}, &BaseURLError{url: base}
	}
	res, err := cli.client.Do(req)
	if err != nil {
		return core.Document{}, &UnavailableError{url: base, cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusOK:
		return readDocument(base, name, res)
	case http.StatusNotModified:
		return core.Document{}, core.ErrUnchanged
	}
	return core.Document{}, &StatusError{url: base, status: res.StatusCode}
}

func readDocument(base, name string, res *http.Response) (core.Document, error) {
	version, err := strconv.ParseUint(res.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return core.Document{}, &DocumentError{
			url: base, detail: fmt.Sprintf("sent the %s header %q", versionHeader, res.Header.Get(versionHeader)),
			remedy: "point the base URL at the configuration service",
		}
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxDocumentBytes+1))
	if err != nil {
		return core.Document{}, &UnavailableError{url: base, cause: err}
	}
	if len(data) > maxDocumentBytes {
		return core.Document{}, &DocumentError{
			url: base, detail: fmt.Sprintf("sent more than %d bytes", maxDocumentBytes), remedy: "publish a smaller document",
		}
	}
	return core.NewDocument(name, version, data), nil
}
