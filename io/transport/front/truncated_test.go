package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/memory"
	"amaranthline/io/base"
	"amaranthline/io/transport/front"
	"amaranthline/io/transport/inlet"
)

// cutHandler answers every request with a body that breaks off after a number of bytes.
type cutHandler struct{ bytes int }

func (cut cutHandler) ServeRoot(context.Context, *core.Request) (*core.Answer, error) {
	return bodyAnswer(io.MultiReader(strings.NewReader(strings.Repeat("x", cut.bytes)), errorReader{io.ErrUnexpectedEOF})), nil
}

func (cut cutHandler) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return cut.ServeRoot(ctx, req)
}

// Guards against an answer that is cut off and looks complete to its caller. A caller of HTTP/1.0 knows no chunks: the end of
// the connection ends an answer without a length, unless it is a reset.
func TestTruncatedAnswerLooksIncomplete(t *testing.T) {
	for _, size := range []int{0, 100, 300 << 10} {
		fro := front.New(front.Settings{Handler: cutHandler{size}, Observer: base.NewMetrics(), Limits: inlet.NewLimits(memory.Divide(8, 0, 0), nil)})
		server := fro.Server()
		server.ErrorLog = log.New(io.Discard, "", 0)
		ser, err := base.Listen("ingress", "127.0.0.1:0", server, fro.Listen)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = ser.Run() }()
		defer ser.Close()
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, further := range []string{"", " and a further request"} {
				t.Run(fmt.Sprint(version, ", ", size, " bytes", further), func(t *testing.T) {
					conn, err := net.Dial("tcp", ser.ListenAddr().String())
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
					text := "GET /service/cut " + version + "\r\nHost: a\r\n\r\n"
					if further != "" {
						text += text
					}
					if _, err := io.WriteString(conn, text); err != nil {
						t.Fatal(err)
					}
					rsp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						return
					}
					defer rsp.Body.Close()
					data, err := io.ReadAll(rsp.Body)
					if err == nil && rsp.StatusCode == http.StatusOK {
						t.Errorf("the answer with %d of %d bytes looks complete", len(data), size)
					}
				})
			}
		}
	}
}
