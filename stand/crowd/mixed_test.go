package crowd_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	manyCallers   = 600
	smallReceive  = 4 << 10 // receive buffer of callers that do not read, so that the node's writes block early
	shortPause    = 5 * time.Millisecond
	innerCallers  = 150 // at the port for operators and at that for readiness checks, each
	peerCallers   = 400 // at the port for peers
	rowRequests   = 200
	slowBodyBytes = 15 << 10 // of a body that comes at once, before the rest of it trickles
)

// oddHeads returns heads that are below the legal length and cost as much as possible, each with a line for the length of a body.
func oddHeads(start string) []string {
	lines := []string{"%x:\r\n", "x%03x: \t\r\n", "c%03X:\r\n", "a:%03x\r\n"}
	heads := make([]string, len(lines))
	for kind, line := range lines {
		head := start + "Content-Length: 15360\r\n"
		for i := 0; len(head) < legalHead; i++ {
			head += fmt.Sprintf(line, i)
		}
		heads[kind] = head + "\r\n"
	}
	return heads
}

// shrinkReceiveBuffer makes a caller that does not read take few bytes.
func shrinkReceiveBuffer(con net.Conn) { _ = con.(*net.TCPConn).SetReadBuffer(smallReceive) }

// allKinds returns callers of all odd kinds whose paths have a prefix.
func allKinds(prefix string) []caller {
	safe, unsafe := prefix+"/safe/", prefix+"/unsafe/"
	odd := oddHeads(headStart("POST", unsafe+"x"))
	long := headStart("POST", unsafe+"x") + shortLines(120<<10)
	row := strings.Repeat(headStart("GET", safe+"middling")+"\r\n", rowRequests)
	return []caller{
		func(con net.Conn, num int) { send(con, odd[num%len(odd)]) },
		func(con net.Conn, num int) {
			if send(con, odd[num%len(odd)]) {
				trickle(con, "b")
			}
		},
		func(con net.Conn, _ int) { send(con, long) },
		func(con net.Conn, _ int) {
			if send(con, headStart("GET", safe+"x")+"x: "+strings.Repeat("y", 120<<10)) {
				trickle(con, "y")
			}
		},
		func(con net.Conn, _ int) { trickle(con, strings.Repeat("\r\n", 16<<10)) },
		func(net.Conn, int) {},
		func(con net.Conn, _ int) {
			if send(con, headStart("GET", safe+"x")+shortLines(legalHead-1000)) {
				trickle(con, "z")
			}
		},
		func(con net.Conn, _ int) {
			shrinkReceiveBuffer(con)
			send(con, row)
		},
		func(con net.Conn, _ int) {
			shrinkReceiveBuffer(con)
			send(con, headStart("GET", safe+"large")+"\r\n")
		},
		func(con net.Conn, _ int) {
			send(con, headStart("POST", unsafe+"x")+"Transfer-Encoding: chunked\r\n\r\nffff\r\n"+strings.Repeat("b", 63<<10))
		},
		func(con net.Conn, _ int) {
			if send(con, headStart("POST", unsafe+"x")+"Transfer-Encoding: chunked\r\n\r\n0\r\n") {
				trickle(con, strings.Repeat("a:\r\n", 4<<10))
			}
		},
		func(con net.Conn, _ int) {
			send(con, strings.Replace(headStart("GET", safe+"middling"), "HTTP/1.1", "HTTP/1.0", 1)+"Connection: keep-alive\r\n\r\n")
		},
	}
}

// Guards against limits that each hold alone and not together.
func TestAllKindsAtOnce(t *testing.T) {
	kinds := allKinds("")
	playAndCheck(startSidecar(t), manyCallers, func(con net.Conn, num int) { kinds[num%len(kinds)](con, num) })
}

// Guards against the same of calls of another host, and of rows and unread answers beside them.
func TestAllKindsToPeers(t *testing.T) {
	kinds := allKinds("/far")
	playAndCheck(startSidecarAndFar(t), manyCallers, func(con net.Conn, num int) { kinds[num%len(kinds)](con, num) })
}

// Guards against garbage that callers make faster than the collector follows when they connect again at once.
func TestReconnectingCallers(t *testing.T) {
	kinds, nod := allKinds(""), startSidecar(t)
	playPartsAndCheck(nod, part{nod.ingress, callers, shortPause, func(con net.Conn, num int) { kinds[num%len(kinds)](con, num) }})
}

// Guards against odd heads on connections that have had an ordinary request, which are closed last in favour of new ones, and
// of HTTP/1.0, more of them than connections are allowed.
func TestOddHeadsAfterRequests(t *testing.T) {
	heads := append(oddHeads(headStart("POST", "/unsafe/x")), oddHeads(strings.Replace(headStart("POST", "/unsafe/x"), "HTTP/1.1", "HTTP/1.0", 1))...)
	playAndCheck(startSidecar(t), manyCallers, func(con net.Conn, num int) {
		if !send(con, headStart("GET", "/safe/x")+"\r\n") {
			return
		}
		if _, err := con.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		send(con, heads[num%len(heads)])
	})
}

// Guards against bodies that come a byte at a time, whose requests hold the slots of the upstream, and whose heads, bodies and
// answers are as long as each may be without drawing on the shared budget.
func TestBodiesThatTrickle(t *testing.T) {
	head := headStart("POST", "/unsafe/middling") + fmt.Sprintf("Content-Length: %d\r\n", slowBodyBytes+1000)
	for i := range 30 {
		head += fmt.Sprintf("x-%d: %s\r\n", i, strings.Repeat("v", 20))
	}
	head += "\r\n" + strings.Repeat("b", slowBodyBytes)
	playAndCheck(startSidecar(t), manyCallers, func(con net.Conn, _ int) {
		shrinkReceiveBuffer(con)
		if send(con, head) {
			trickle(con, "b")
		}
	})
}

// Guards against answers of another host's upstream that nobody reads, of which the node holds more than of those of its own.
func TestUnreadAnswersOfPeers(t *testing.T) {
	nod := startSidecarAndFar(t)
	playAndCheck(nod, manyCallers, func(con net.Conn, num int) {
		shrinkReceiveBuffer(con)
		if num%2 == 0 {
			send(con, headStart("GET", "/far/safe/large")+"\r\n")
		} else { // of a body that is not in memory when the call is sent, which gets a stream of its own
			send(con, headStart("POST", "/far/unsafe/large")+"Content-Length: 70000\r\n\r\n"+strings.Repeat("b", 70000))
		}
	})
}

// Guards against calls with costly heads and slow bodies that come from and go to another host.
func TestOddHeadsToPeers(t *testing.T) {
	heads := oddHeads(headStart("POST", "/far/unsafe/x"))
	body := strings.Repeat("b", 15360)
	playAndCheck(startSidecarAndFar(t), manyCallers, func(con net.Conn, num int) {
		switch num % 3 {
		case 0:
			send(con, heads[num%len(heads)]+body)
		case 1:
			if send(con, heads[num%len(heads)]) {
				trickle(con, "b")
			}
		default:
			send(con, strings.Repeat(headStart("GET", "/far/safe/middling")+"\r\n", rowRequests))
		}
	})
}

// Guards against connections at all ports together that exceed the descriptors, although each port keeps to its own bound.
func TestConnectionsAtAllPorts(t *testing.T) {
	nod := startSidecar(t)
	idle := func(net.Conn, int) {}
	playPartsAndCheck(nod, part{nod.ingress, idleCallers, redialPause, idle}, part{nod.peer, peerCallers, shortPause, idle},
		part{nod.ready, innerCallers, redialPause, idle}, part{nod.admin, innerCallers, redialPause, idle})
}

// Guards against metrics that are asked for by many callers at once and not read, at the ports for operators and readiness
// checks, beside a crowd at the port for callers.
func TestMetricsThatNobodyReads(t *testing.T) {
	nod, kinds := startSidecar(t), allKinds("")
	row := strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\nAccept-Encoding: gzip\r\n\r\n", rowRequests)
	ask := func(con net.Conn, _ int) {
		shrinkReceiveBuffer(con)
		for send(con, row) {
		}
	}
	playPartsAndCheck(nod, part{nod.ready, innerCallers, redialPause, ask}, part{nod.admin, innerCallers, redialPause, ask},
		part{nod.ingress, manyCallers, redialPause, func(con net.Conn, num int) { kinds[num%len(kinds)](con, num) }})
}

// Guards against odd heads, rows and bodies at the ports for operators and readiness checks and at that for peers.
func TestOddCallersAtInnerPorts(t *testing.T) {
	nod := startSidecar(t)
	kinds := allKinds("")
	explain := "POST /explain HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n[" + strings.Repeat(`{"a":[`, 10<<10)
	kinds = append(kinds, func(con net.Conn, _ int) {
		if send(con, explain) {
			trickle(con, strings.Repeat("[", 64<<10))
		}
	}, func(con net.Conn, _ int) { _, _ = io.WriteString(con, strings.Repeat("\x00", 256<<10)) })
	play := func(con net.Conn, num int) { kinds[num%len(kinds)](con, num) }
	playPartsAndCheck(nod, part{nod.ready, innerCallers, redialPause, play}, part{nod.admin, innerCallers, redialPause, play},
		part{nod.peer, peerCallers, shortPause, play})
}
