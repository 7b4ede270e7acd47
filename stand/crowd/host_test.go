package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	hostIP      = "127.77.0.1" // other tests of this project use other addresses
	farIP       = "127.77.0.2" // of a host whose upstream answers calls of the first one
	routeHost   = "shop.example"
	teamKey     = "verona-key"
	serviceName = "stock"
	farName     = "depot"

	readyTimeout  = 30 * time.Second
	maxStarts     = 5
	addressInUse  = "address already in use"
	pollInterval  = 100 * time.Millisecond
	largeAnswer   = 4 << 20
	middlingBytes = 60 << 10 // of an answer that nodes still buffer whole

	upstreamConnections = 60
	upstreamSlots       = 20
	farConnections      = 400 // also the slots of that upstream, which more callers may use than the node's limits allow
)

var program string

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

// testMain builds the program without the race detector, whose memory would count as that of the node.
func testMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "amaranthline")
	if out, err := exec.Command("go", "build", "-o", program, "amaranthline/cmd/amaranthline").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// logBuffer keeps the first lines that a process writes.
type logBuffer struct {
	mut sync.Mutex
	buf bytes.Buffer
}

func (lbu *logBuffer) Write(data []byte) (int, error) {
	lbu.mut.Lock()
	defer lbu.mut.Unlock()
	if lbu.buf.Len() < 64<<10 {
		lbu.buf.Write(data)
	}
	return len(data), nil
}

func (lbu *logBuffer) String() string {
	lbu.mut.Lock()
	defer lbu.mut.Unlock()
	return lbu.buf.String()
}

// serveStore answers the calls with which nodes read the platform's store: one configuration, one upstream, and one of another
// service unless its address is empty. They do not change.
func serveStore(upstream, farUpstream string) http.Handler {
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int    `json:"revision"`
	}
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return data
	}
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"hostname": routeHost, "path_prefix": prefix, "route_type": kind, "timeout_s": 20, "target_latency_s": 1,
			"priority": 0, "service": service, "max_attempts": 2,
		}
	}
	entry := func(service, address string, slots int) []byte {
		return encode(map[string]any{
			"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	items := []item{
		{"op/config", encode(map[string]any{
			"version": "00000001", "routes": map[string]any{
				"safe": route("/safe/", "safe", serviceName), "unsafe": route("/unsafe/", "unsafe", serviceName),
				"far-safe": route("/far/safe/", "safe", farName), "far-unsafe": route("/far/unsafe/", "unsafe", farName),
			},
			"services": map[string]any{
				serviceName: map[string]any{"health_path": "/health", "max_connections": upstreamConnections},
				farName:     map[string]any{"health_path": "/health", "max_connections": farConnections},
			},
			"tenants": map[string]any{"verona": map[string]any{"api_keys": []string{teamKey}, "rate_per_s": 0}},
		}), 1},
		{"servers/i-1", entry(serviceName, upstream, upstreamSlots), 2},
	}
	if farUpstream != "" {
		items = append(items, item{"servers/i-2", entry(farName, farUpstream, farConnections), 3})
	}
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		query := req.URL.Query()
		if req.URL.Path == "/kv-range" {
			found := []item{}
			for _, ite := range items {
				if strings.HasPrefix(ite.Key, query.Get("path_prefix")) && ite.Key > query.Get("after") {
					found = append(found, ite)
				}
			}
			_, _ = wri.Write(encode(map[string]any{"items": found, "has_more": false, "current_rev": len(items)}))
			return
		}
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-req.Context().Done():
		}
		_, _ = wri.Write(encode(map[string]any{"events": []item{}, "current_rev": len(items)}))
	})
}

// serveUpstream answers requests at once: paths that end with "large" or "middling" with as many bytes, others with the
// length of the request's body.
func serveUpstream(wri http.ResponseWriter, req *http.Request) { serveInstance(wri, req, "i-1") }

func serveFarUpstream(wri http.ResponseWriter, req *http.Request) { serveInstance(wri, req, "i-2") }

func serveInstance(wri http.ResponseWriter, req *http.Request, id string) {
	wri.Header().Set("Instance-Id", id)
	if req.URL.Path == "/health" {
		return
	}
	length, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	wri.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	switch {
	case strings.HasSuffix(req.URL.Path, "/large"):
		_, _ = wri.Write(make([]byte, largeAnswer))
	case strings.HasSuffix(req.URL.Path, "/middling"):
		_, _ = wri.Write(make([]byte, middlingBytes))
	default:
		fmt.Fprintf(wri, "%d", length)
	}
}

// node is a running process of the program under test.
type node struct {
	t       *testing.T
	pid     int
	exited  func() bool
	ingress string
	peer    string
	ready   string // of readiness checks
	admin   string // of operators
	// ask sends an ordinary request and returns the status and the body of the answer.
	ask func() (status int, body string, err error)
}

// freeAddrs returns addresses that are free and differ from each other.
func freeAddrs(t *testing.T, ip string, count int) []string {
	t.Helper()
	addrs := make([]string, count)
	for num := range addrs {
		lis, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close() // not before all are known
		addrs[num] = lis.Addr().String()
	}
	return addrs
}

func serve(t *testing.T, ip string, handler http.Handler) (addr string) {
	t.Helper()
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go srv.Serve(lis) //nolint:errcheck // ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	return lis.Addr().String()
}

// startSidecar starts a sidecar with the lowered limits of these tests beside a stand-in of the store and of an upstream,
// and waits until it is ready.
func startSidecar(t *testing.T) *node {
	t.Helper()
	upstream := serve(t, hostIP, http.HandlerFunc(serveUpstream))
	host := sidecarHost{ip: hostIP, service: serviceName, upstream: upstream, connections: upstreamConnections, memoryMB: memoryMB, maxFiles: maxFiles}
	host.store = serve(t, hostIP, serveStore(upstream, ""))
	return host.start(t)
}

// startSidecarAndFar starts a sidecar as startSidecar does, and one of another host whose limits are not under test. The first
// one forwards the requests below /far/ to the second.
func startSidecarAndFar(t *testing.T) *node {
	t.Helper()
	upstream, farUpstream := serve(t, hostIP, http.HandlerFunc(serveUpstream)), serve(t, farIP, http.HandlerFunc(serveFarUpstream))
	store := serve(t, hostIP, serveStore(upstream, farUpstream))
	far := sidecarHost{ip: farIP, service: farName, upstream: farUpstream, store: store, connections: farConnections}
	farNode := far.start(t)
	_, port, err := net.SplitHostPort(farNode.peer)
	if err != nil {
		t.Fatal(err)
	}
	host := sidecarHost{
		ip: hostIP, service: serviceName, upstream: upstream, store: store, connections: upstreamConnections, peerPort: port,
		memoryMB: memoryMB, maxFiles: maxFiles,
	}
	nod := host.start(t)
	nod.await("a request is answered by the other host", readyTimeout, func() bool {
		status, _, err := get(nod.ingress, "/far/safe/ordinary", routeHost)
		return err == nil && status == http.StatusOK
	})
	return nod
}

// sidecarHost is what a sidecar is told of its host.
type sidecarHost struct {
	ip, service, upstream, store string
	connections                  int    // to the upstream
	peerPort                     string // the same on all hosts; empty for any
	memoryMB, maxFiles           int    // 0 for no bound
}

// start starts the sidecar and waits until it is ready. Another process may take a port in between, so it tries other ports
// then.
func (sih *sidecarHost) start(t *testing.T) *node {
	t.Helper()
	for range maxStarts {
		nod, log := sih.startProcess(t)
		start := time.Now()
		for !nod.exited() {
			if status, _, err := get(nod.ready, "/readyz", ""); err == nil && status == http.StatusOK {
				return nod
			}
			if time.Since(start) > readyTimeout {
				t.Fatalf("the node was not ready within %v", readyTimeout)
			}
			time.Sleep(pollInterval)
		}
		if !strings.Contains(log.String(), addressInUse) {
			t.Fatal("the process of the node has ended at its start")
		}
	}
	t.Fatal("no free ports")
	return nil
}

func (sih *sidecarHost) startProcess(t *testing.T) (*node, *logBuffer) {
	t.Helper()
	addrs := freeAddrs(t, sih.ip, 4)
	nod := &node{t: t, ingress: addrs[0], ready: addrs[1], peer: addrs[2], admin: addrs[3]}
	if sih.peerPort != "" {
		nod.peer = net.JoinHostPort(sih.ip, sih.peerPort)
	}
	log := &logBuffer{}
	cmd := exec.Command(program, "sidecar", "--host", sih.ip, "--domain", "a", "--domains", "a", "--service", sih.service,
		"--upstream", "http://"+sih.upstream, "--upstream-connections", strconv.Itoa(sih.connections), "--ingress", nod.ingress, "--peer", nod.peer,
		"--ready", nod.ready, "--admin", nod.admin, "--store", sih.store, "--memory-mb", strconv.Itoa(sih.memoryMB), "--max-files", strconv.Itoa(sih.maxFiles))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-ended
		if t.Failed() {
			t.Log(log.String())
		}
	})
	nod.pid = cmd.Process.Pid
	nod.exited = func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}
	nod.ask = func() (int, string, error) { return get(nod.ingress, "/safe/ordinary", routeHost) }
	return nod, log
}

// get sends one request on a connection of its own.
func get(addr, path, host string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if host != "" { // on the platform
		req.Host = host
		req.Header.Set("Api-Key", teamKey)
	}
	req.Header.Set("Attempt-Id", "a1")
	cli := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	return rsp.StatusCode, string(data), err
}

// await polls a condition until it holds.
func (nod *node) await(what string, limit time.Duration, condition func() bool) {
	nod.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(pollInterval) {
		if nod.exited() {
			nod.t.Fatal("the process of the node has ended")
		}
		if time.Since(start) > limit {
			nod.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// awaitAnswer sends ordinary requests until one is answered.
func (nod *node) awaitAnswer(when string) {
	nod.t.Helper()
	nod.await("an ordinary request is answered "+when, answerTimeout, func() bool {
		status, _, err := nod.ask()
		return err == nil && status == http.StatusOK
	})
}

// memoryPeak returns the largest resident memory that the process has had, in KiB.
func (nod *node) memoryPeak() int {
	nod.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", nod.pid))
	if err != nil {
		nod.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				nod.t.Fatal(err)
			}
			return kib
		}
	}
	nod.t.Fatal("the process has no VmHWM")
	return 0
}

// descriptors returns how many descriptors the process has open.
func (nod *node) descriptors() int {
	nod.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", nod.pid))
	if err != nil {
		nod.t.Fatalf("the process of the node has ended: %v", err)
	}
	return len(entries)
}
