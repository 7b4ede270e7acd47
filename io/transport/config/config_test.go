package config_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/io/transport/config"
	"amaranthline/stand/conf"

	"github.com/google/go-cmp/cmp"
)

func newClient(t *testing.T, urls ...string) *config.Client {
	t.Helper()
	cli, err := config.New(config.Settings{BaseURLs: urls})
	if err != nil {
		t.Fatal(err)
	}
	return cli
}

func describe(doc core.Document, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(doc.Name(), " ", doc.Version(), " ", string(doc.Data()))
}

// A watch that returned only at the end of its wait would delay every change by up to that wait. It must return as soon
// as the document changes, and a read must return the newest version.
func TestReadAndWatch(t *testing.T) {
	svc := conf.New()
	srv := httptest.NewServer(svc)
	defer srv.Close()
	cli, ctx := newClient(t, srv.URL+"/"), context.Background()
	svc.Publish("hosts", []byte(`{"version": 3}`))
	got := []string{describe(cli.Read(ctx, "hosts", 0))}
	changed := make(chan string)
	go func() { changed <- describe(cli.WaitChange(ctx, "hosts", 3, time.Minute)) }()
	for svc.Calls().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	svc.Publish("hosts", []byte(`{"version": 4}`))
	got = append(got, <-changed, describe(cli.WaitChange(ctx, "hosts", 4, 0)))
	want := []string{`hosts 3 {"version": 3}`, `hosts 4 {"version": 4}`, core.ErrUnchanged.Error()}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("documents (-want +got):\n%s", diff)
	}
}

// Each failure of the configuration service must be a typed error that names the remedy.
func TestFailuresAreTypedErrors(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		target any
		want   string
	}{
		{"not published", http.NotFound, new(*config.StatusError), "answered 404; publish the document"},
		{"unavailable", func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusServiceUnavailable) }, new(*config.StatusError), "answered 503"},
		{"no version", func(wri http.ResponseWriter, _ *http.Request) { _, _ = wri.Write([]byte("{}")) }, new(*config.DocumentError), `Version header ""`},
		{"too large", func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Version", "1")
			_, _ = wri.Write(make([]byte, 1<<20+1))
		}, new(*config.DocumentError), "publish a smaller document"},
		{"truncated", func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Version", "1")
			wri.Header().Set("Content-Length", "100")
			_, _ = wri.Write([]byte("{}"))
		}, new(*config.UnavailableError), "unexpected EOF"},
		{"silent", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }, new(*config.UnavailableError), "check that it runs"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			srv := httptest.NewServer(tst.answer)
			defer srv.Close()
			cli, err := config.New(config.Settings{BaseURLs: []string{srv.URL}, Timeout: 200 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			_, err = cli.Read(context.Background(), "hosts", 0)
			if !errors.As(err, tst.target) || !strings.Contains(err.Error(), tst.want) {
				t.Errorf("got %T %v, want %T with %q", err, err, tst.target, tst.want)
			}
		})
	}
}

// One failed replica must not stop the reads: after a failure the next call must go to another replica. One call must
// never ask two replicas.
func TestFailedReplicaIsReplaced(t *testing.T) {
	svc := conf.New()
	svc.Publish("hosts", []byte(`{"version": 1}`))
	down, live := httptest.NewServer(http.NotFoundHandler()), httptest.NewServer(svc)
	down.Close()
	defer live.Close()
	cli := newClient(t, down.URL, live.URL)
	var got []string
	for range 3 {
		_, err := cli.Read(context.Background(), "hosts", 0)
		got = append(got, fmt.Sprint(err == nil, svc.Calls().Calls))
	}
	if diff := cmp.Diff([]string{"false 0", "true 1", "true 2"}, got); diff != "" {
		t.Errorf("success and calls (-want +got):\n%s", diff)
	}
	for _, urls := range [][]string{nil, {"10.0.0.9:8500"}, {"ftp://10.0.0.9"}} {
		if _, err := config.New(config.Settings{BaseURLs: urls}); err == nil {
			t.Errorf("New accepted the base URLs %q", urls)
		}
	}
}

// Guards against an answer that has no status of HTTP, or another version, and is taken for a document.
func TestAnswerWithoutStatus(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 None", "HTTP/1.1 +20 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1 20 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/2.0 304 Not Modified", "ICY 200 OK",
	} {
		testBrokenAnswer(t, line)
	}
}

// Guards against an answer with a field without a valid name that is taken for a document.
func TestAnswerWithInvalidFieldName(t *testing.T) {
	for _, line := range []string{"X Broken: 1", "X-Any: 1\r\n X-Broken: 1", "X-Bro\x01ken: 1", "Content-Length : 3", "Version : 8"} {
		testBrokenAnswer(t, "HTTP/1.1 200 OK\r\n"+line)
	}
}

// testBrokenAnswer checks that an answer whose head begins with the given lines is not used.
func testBrokenAnswer(t *testing.T, line string) {
	t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		go func() {
			for {
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, line+"\r\nVersion: 7\r\nContent-Length: 2\r\n\r\n{}")
				_ = conn.Close()
			}
		}()
		doc, err := newClient(t, "http://"+lis.Addr().String()).WaitChange(t.Context(), "hosts", 3, time.Second)
		if err == nil || errors.Is(err, core.ErrUnchanged) {
			t.Errorf("the read ended with %s, want a failure", describe(doc, err))
		}
	})
}
