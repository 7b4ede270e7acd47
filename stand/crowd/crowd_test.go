package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthline/stand/fleet"
)

// The limits of the node and the bounds of all tests. The crowds are small, so the limits are far below those of a host.
const (
	memoryMB = 64  // --memory-mb, and the bound on the resident memory
	maxFiles = 600 // --max-files, and the bound on open descriptors

	callers     = 200
	idleCallers = 700

	playTime      = 6 * time.Second // of a crowd, before the ordinary request
	redialPause   = time.Second     // of a caller whose connection was closed
	answerTimeout = time.Minute     // until an ordinary request that is sent again and again is answered
)

// legalHead is below the 16,384 bytes that the pages allow.
const legalHead = 15500

// caller sends what it wants on a connection and returns when it has nothing more to send; the connection stays open until
// the node closes it or the crowd ends.
type caller func(con net.Conn, num int)

// crowd is a number of callers that are connected all the time.
type crowd struct {
	cancel context.CancelFunc
	grp    sync.WaitGroup
}

// part is a number of callers of one kind at one port.
type part struct {
	addr  string
	count int
	pause time.Duration // after a connection has ended
	play  caller
}

func startCrowd(t *testing.T, parts []part) *crowd {
	ctx, cancel := context.WithCancel(t.Context())
	crw := &crowd{cancel: cancel}
	for _, prt := range parts {
		for num := range prt.count {
			crw.grp.Go(func() {
				for ctx.Err() == nil {
					callOnce(ctx, prt.addr, num, prt.play)
					select {
					case <-ctx.Done():
					case <-time.After(prt.pause):
					}
				}
			})
		}
	}
	return crw
}

func (crw *crowd) end() {
	crw.cancel()
	crw.grp.Wait()
}

// callOnce plays a caller on one connection and leaves the connection open, without reading from it, until the node closes
// it or the context ends.
func callOnce(ctx context.Context, addr string, num int, play caller) {
	con, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer con.Close()
	defer context.AfterFunc(ctx, func() { _ = con.Close() })()
	play(con, num)
	// A closed connection shows at a write. A reset one would also show at a read, but some callers must not read.
	for ctx.Err() == nil && !isClosed(con) {
		time.Sleep(pollInterval)
	}
}

// playAndCheck runs a crowd at the port for callers and checks the node as playPartsAndCheck does.
func playAndCheck(nod *node, count int, play caller) {
	nod.t.Helper()
	playPartsAndCheck(nod, part{nod.ingress, count, redialPause, play})
}

// playPartsAndCheck runs a crowd against a node and checks that the node lives, keeps to its limits, and answers an ordinary
// request while the crowd is there and after it has left.
func playPartsAndCheck(nod *node, parts ...part) {
	nod.t.Helper()
	nod.awaitAnswer("before the crowd")
	crw := startCrowd(nod.t, parts)
	defer crw.end()
	descriptors := 0
	for start := time.Now(); time.Since(start) < playTime; time.Sleep(pollInterval) {
		if nod.exited() {
			nod.t.Fatal("the process of the node has ended")
		}
		descriptors = max(descriptors, nod.descriptors())
	}
	nod.awaitAnswer("beside the crowd")
	crw.end()
	nod.awaitAnswer("after the crowd")
	peak := nod.memoryPeak()
	nod.t.Logf("at most %d KiB resident and %d descriptors", peak, descriptors)
	if peak > memoryMB<<10 {
		nod.t.Errorf("the node used %d KiB, its host has %d", peak, memoryMB<<10)
	}
	if descriptors > maxFiles {
		nod.t.Errorf("the node had %d descriptors open, its host allows %d", descriptors, maxFiles)
	}
}

// headStart returns the first lines of a head that the node serves.
func headStart(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nAttempt-Id: a1\r\n", method, path, routeHost, teamKey)
}

// shortLines returns at least as many bytes of header lines that are as short as different names allow.
func shortLines(size int) string {
	var bld strings.Builder
	for i := 0; bld.Len() < size; i++ {
		bld.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return bld.String()
}

func send(con net.Conn, text string) bool {
	_, err := io.WriteString(con, text)
	return err == nil
}

// trickle sends a text again and again, with pauses, until the connection is closed.
func trickle(con net.Conn, text string) {
	for send(con, text) {
		time.Sleep(pollInterval)
	}
}

// Guards against requests of legal size whose short header lines cost the node 30 times their bytes while it waits for their
// bodies.
func TestManyShortLines(t *testing.T) {
	head := headStart("POST", "/unsafe/x") + "Content-Length: 100\r\n"
	head += shortLines(legalHead-len(head)) + "\r\n"
	playAndCheck(startSidecar(t), callers, func(con net.Conn, _ int) { send(con, head) })
}

// Guards against header lines that cost more than short ones of different names: names that are not in canonical form,
// empty, folded and repeated values, and lines that no parser accepts.
func TestOddLines(t *testing.T) {
	lines := []string{"x%03x: \t\r\n", "%03x:\r\n b\r\n", "c%03X:\r\n", "a:%03x\r\n", "%03x :b\r\n"}
	heads := make([]string, len(lines))
	for kind, line := range lines {
		head := headStart("POST", "/unsafe/x") + "Content-Length: 100\r\n"
		for i := 0; len(head) < legalHead; i++ {
			head += fmt.Sprintf(line, i)
		}
		heads[kind] = head + "\r\n"
	}
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) { send(con, heads[num%len(heads)]) })
}

// Guards against heads above the limit that the node holds whole before it refuses them.
func TestHeadOverTheLimit(t *testing.T) {
	head := headStart("POST", "/unsafe/x") + "Content-Length: 100\r\n" + shortLines(120<<10) + "\r\n"
	playAndCheck(startSidecar(t), callers, func(con net.Conn, _ int) { send(con, head) })
}

// Guards against heads of short lines that do not end, which the node holds until its timeout.
func TestLinesWithoutEnd(t *testing.T) {
	head := headStart("GET", "/safe/x") + shortLines(120<<10)
	playAndCheck(startSidecar(t), callers, func(con net.Conn, _ int) {
		if send(con, head) {
			trickle(con, "z:\r\n")
		}
	})
}

// Guards against a header line that does not end.
func TestLineWithoutEnd(t *testing.T) {
	line := headStart("GET", "/safe/x") + "x: " + strings.Repeat("y", 120<<10)
	playAndCheck(startSidecar(t), callers, func(con net.Conn, _ int) {
		if send(con, line) {
			trickle(con, "y")
		}
	})
}

// Guards against empty lines without end before a request, on a new connection and after a request.
func TestEmptyLinesBeforeRequest(t *testing.T) {
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) {
		if num%2 == 0 {
			send(con, headStart("GET", "/safe/x")+"\r\n")
		}
		trickle(con, strings.Repeat("\r\n", 16<<10))
	})
}

// Guards against idle connections that take all descriptors of the process.
func TestIdleConnections(t *testing.T) {
	playAndCheck(startSidecar(t), idleCallers, func(con net.Conn, num int) {
		if num%2 == 0 {
			send(con, headStart("GET", "/safe/x")+"\r\n")
		}
	})
}

// Guards against heads that grow by one byte a second.
func TestSlowSenders(t *testing.T) {
	head := headStart("GET", "/safe/x")
	head += shortLines(legalHead - len(head) - 1000)
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) {
		if num%8 > 0 && !send(con, head) {
			return
		}
		for _, char := range []byte(headStart("GET", "/safe/x")) {
			if !send(con, string(char)) {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against rows of requests on one connection whose answers nobody reads.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	row := strings.Repeat(headStart("GET", "/safe/middling")+"\r\n", 200)
	playAndCheck(startSidecar(t), callers, func(con net.Conn, _ int) { send(con, row) })
}

// Guards against large answers that nobody reads, or that are read a byte at a time.
func TestSlowReaders(t *testing.T) {
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) {
		if !send(con, headStart("GET", "/safe/large")+"\r\n") {
			return
		}
		for buf := make([]byte, 1); num%2 == 0; time.Sleep(pollInterval) {
			if _, err := con.Read(buf); err != nil {
				return
			}
		}
	})
}

// Guards against bodies of which only a part comes, or nothing: with a length, in chunks, and after Expect.
func TestBodiesThatNeverCome(t *testing.T) {
	part := strings.Repeat("b", 63<<10)
	bodies := []string{
		"Content-Length: 65000\r\n\r\n", "Content-Length: 65000\r\n\r\n" + part, "Transfer-Encoding: chunked\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nffff\r\n" + part, "Content-Length: 65000\r\nExpect: 100-continue\r\n\r\n",
		"Content-Length: 8000000\r\n\r\n" + part, "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n",
	}
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) {
		send(con, headStart("POST", "/unsafe/x")+bodies[num%len(bodies)])
	})
}

// Guards against chunk sizes, chunk extensions and trailers without end.
func TestChunksWithoutEnd(t *testing.T) {
	starts := []string{"", "1;", "0\r\n", "0\r\nx: "}
	parts := []string{"0", "x=y;", "a:\r\n", "y"}
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) {
		kind := num % len(starts)
		if send(con, headStart("POST", "/unsafe/x")+"Transfer-Encoding: chunked\r\n\r\n"+starts[kind]) {
			trickle(con, strings.Repeat(parts[kind], 4<<10))
		}
	})
}

// Guards against what a node learns or counts by keys, paths, hosts and header names that are all new.
func TestNewNames(t *testing.T) {
	long := strings.Repeat("n", 4<<10)
	playAndCheck(startSidecar(t), callers, func(con net.Conn, num int) {
		for i := 0; ; i++ {
			name := fmt.Sprintf("%s-%d-%d", long, num, i)
			hosts, keys := []string{routeHost, name}, []string{teamKey, name}
			head := fmt.Sprintf("GET /safe/%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nAttempt-Id: %s\r\n\r\n", name, hosts[i%2], keys[i/2%2], name)
			if !send(con, head) {
				return
			}
			if _, err := con.Read(make([]byte, 4<<10)); err != nil {
				return
			}
			time.Sleep(pollInterval / 4)
		}
	})
}

// Guards against the same faults in the program whose callers use the product's own interface, on the port for callers.
func TestNodeWithUnfinishedHeads(t *testing.T) {
	const team = "verona"
	t.Setenv("AMARANTHLINE_MEMORY_MB", strconv.Itoa(memoryMB))
	t.Setenv("AMARANTHLINE_MAX_FILES", strconv.Itoa(maxFiles))
	fle, err := fleet.Start(t.Context(), program, fleet.Plan{
		Domains: []string{"nord-a"},
		Classes: []fleet.Class{{Name: "read", TargetRatio: 0.99, TargetLatency: 5 * time.Second}},
		Services: []fleet.Service{{
			Name: serviceName, Slots: 20, Connections: 60, ServiceTime: time.Millisecond,
			Routes: []fleet.Route{{Method: "GET", Path: "/items/{id}", Class: "read", Idempotent: true}},
		}},
		Teams: []fleet.Team{{Name: team, Rate: 1000, Burst: 1000}},
	}, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fle.Close)
	hos := fle.Hosts()[0]
	nod := &node{t: t, pid: hos.Node().PID(), exited: hos.Node().Exited, ingress: strings.TrimPrefix(hos.Ingress(), "http://")}
	nod.ask = func() (int, string, error) { return get(nod.ingress, "/"+serviceName+"/items/x", "") }
	heads := []string{
		shortLines(120 << 10), shortLines(legalHead-200) + "Content-Length: 100\r\n\r\n", "x: " + strings.Repeat("y", 120<<10),
	}
	start := fmt.Sprintf("GET /%s/items/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", serviceName, teamKey)
	playAndCheck(nod, callers, func(con net.Conn, num int) {
		if send(con, start+heads[num%len(heads)]) && num%len(heads) != 1 {
			trickle(con, "z")
		}
	})
}
