package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/io/base"
	"amaranthline/io/transport/front"

	"github.com/google/go-cmp/cmp"
)

// refuser refuses all requests before it has read their bodies.
type refuser struct{}

func (refuser) ServeRoot(context.Context, *core.Request) (*core.Answer, error) {
	return nil, core.NewRefusal(core.ReasonNoConfiguration, core.OutcomeNotRun, "refused by the test")
}

func (ref refuser) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return ref.ServeRoot(ctx, req)
}

// Guards against refusals that do not reach their callers: when a request with "Connection: close" was refused before its
// body had arrived, the connection was reset while the caller still sent the body.
func TestRefusalReachesSenderOfBody(t *testing.T) {
	for _, connection := range []string{"keep-alive", "close"} {
		for _, drain := range []bool{false, true} {
			for _, length := range []int{40 << 10, 1 << 20} {
				t.Run(fmt.Sprintf("%s, drain %v, %d bytes", connection, drain, length), func(t *testing.T) {
					fro := front.New(front.Settings{Handler: refuser{}, Observer: base.NewMetrics()})
					if drain {
						fro.Drain()
					}
					ser := httptest.NewUnstartedServer(nil)
					ser.Config = fro.Server()
					ser.Start()
					defer ser.Close()
					got := sendInParts(t, ser.Listener.Addr().String(), connection, bytes.Repeat([]byte("x"), length))
					if diff := cmp.Diff("503 Service Unavailable", got); diff != "" {
						t.Errorf("answer (-want +got):\n%s", diff)
					}
				})
			}
		}
	}
}

// sendInParts sends a request, with a pause between its head and its body and then in the body, and returns the status of
// the answer.
func sendInParts(t *testing.T, addr, connection string, data []byte) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf("POST /service/path HTTP/1.1\r\nHost: service\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, len(data))
	for _, part := range [][]byte{[]byte(head), data[:1<<10], data[1<<10 : 20<<10], data[20<<10 : 40<<10]} {
		if _, err := conn.Write(part); err != nil {
			t.Errorf("the connection broke while the request was sent: %v", err)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	go func() { _, _ = conn.Write(data[40<<10:]) }() // nobody may read all of a long body
	rsp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer rsp.Body.Close()
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		t.Errorf("the answer broke off: %v", err)
	}
	return rsp.Status
}
