//go:build review

// Package rig starts nodes as processes on loopback addresses, beside stand-ins for the platform's store and for the
// backends, and records what was sent, answered and run.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run.
type Record struct {
	mut   sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord(folder string) *Record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		Fail("%v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// Note writes one line with the time since the start.
func (rec *Record) Note(format string, args ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	fmt.Fprintf(rec.file, "%8.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// Fail ends the case because it cannot run.
func Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	panic(exit(NotRun))
}

type exit int

// Main runs a case and exits with its code, after the fleet has been closed.
func Main(run func(folder string) int) {
	code := NotRun
	func() {
		defer func() {
			if cause := recover(); cause != nil {
				if code2, ok := cause.(exit); ok {
					code = int(code2)
					return
				}
				fmt.Fprintln(os.Stderr, cause)
			}
		}()
		code = run(os.Args[1])
	}()
	os.Exit(code)
}

// Entry is one write to the store.
type Entry struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     int    `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mut     sync.Mutex
	changed chan struct{}
	writes  []Entry
	era     int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{changed: make(chan struct{}), era: 1} }

// Write writes a key and returns the revision.
func (sto *Store) Write(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		Fail("%v", err)
	}
	return sto.add(Entry{Key: key, Value: data})
}

// Remove deletes a key.
func (sto *Store) Remove(key string) uint64 { return sto.add(Entry{Key: key, Tombstone: true}) }

func (sto *Store) add(ent Entry) uint64 {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	ent.Revision = uint64(len(sto.writes) + 1)
	ent.Created = ent.Revision
	sto.writes = append(sto.writes, ent)
	close(sto.changed)
	sto.changed = make(chan struct{})
	return ent.Revision
}

// ServeHTTP answers the reading calls of the store.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		sto.mut.Lock()
		answer, status := sto.answer(req.URL.Path, query.Get("key"), query.Get("path_prefix"), query.Get("after"), !time.Now().Before(deadline))
		changed, era := sto.changed, sto.era
		sto.mut.Unlock()
		if answer != nil || status != http.StatusOK {
			wri.Header().Set("Store-Era", strconv.Itoa(era))
			wri.Header().Set("Content-Type", "application/json")
			wri.WriteHeader(status)
			_ = json.NewEncoder(wri).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *Store) answer(path, key, prefix, after string, expired bool) (any, int) {
	rev := uint64(len(sto.writes))
	switch path {
	case "/kv-key", "/kv-range":
		latest := map[string]Entry{}
		for _, ent := range sto.writes {
			latest[ent.Key] = ent
		}
		if path == "/kv-key" {
			if ent, ok := latest[key]; ok && !ent.Tombstone {
				return ent, http.StatusOK
			}
			return map[string]any{}, http.StatusNotFound
		}
		items := []Entry{}
		for _, ent := range latest {
			if strings.HasPrefix(ent.Key, prefix) && !ent.Tombstone && ent.Key > after {
				items = append(items, ent)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return map[string]any{"items": items, "has_more": false, "current_rev": rev}, http.StatusOK
	case "/kv-watch":
		from, err := strconv.ParseUint(after, 10, 64)
		if err != nil || from > rev {
			return map[string]any{}, http.StatusGone
		}
		events := []Entry{}
		for _, ent := range sto.writes[from:] {
			if strings.HasPrefix(ent.Key, prefix) {
				events = append(events, ent)
			}
		}
		if len(events) == 0 && !expired {
			return nil, http.StatusOK
		}
		return map[string]any{"events": events, "current_rev": rev}, http.StatusOK
	}
	return map[string]any{}, http.StatusNotFound
}

// firstHost is the last byte of the first machine's address. All have three digits, so that none begins another one.
const firstHost = 101

// HostSpec describes a machine: its zone, the service of its backend and the slots of that.
type HostSpec struct {
	Zone, Service string
	Slots         int
}

// Host is a machine with a node and a backend.
type Host struct {
	HostSpec
	IP       string
	Instance string
	fleet    *Fleet
	store    *http.Server
	refused  atomic.Bool  // the store turns this machine away
	lastCall atomic.Int64 // to the store, in Unix nanoseconds
	storeMut sync.Mutex
	storeCtx context.Context
	cutStore context.CancelFunc
	peerAt   string // where the node listens for peers
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
	server   *http.Server
	born     int64
	draining bool
	gone     bool
	sequence int
}

// Fleet is a small deployment.
type Fleet struct {
	Record   *Record
	Store    *Store
	Hosts    []*Host
	dir      string
	ports    [6]int // ingress, peer, ready, admin, backend, store
	zones    []string
	stopBeat context.CancelFunc
	beatMut  sync.Mutex
	log      *os.File
	links    *links // nil without proxies
}

// Settings configures a fleet.
type Settings struct {
	Prefix  string // first three bytes of the loopback addresses
	Hosts   []HostSpec
	Config  map[string]any
	Handler func(hos *Host) http.Handler // serves the requests of a backend that are for its instance and no health checks
	Memory  int
	// Proxies puts a proxy of the rig before the port for peers of each node, so that machines can be cut off from each other.
	Proxies bool
}

// Start starts the store, the backends and the nodes, and waits until all nodes are ready.
func Start(rec *Record, set Settings) *Fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		Fail("%v", err)
	}
	fle := &Fleet{Record: rec, Store: NewStore(), dir: dir}
	fle.log, _ = os.Create(filepath.Join(dir, "nodes.log"))
	ips := []string{}
	for i := range set.Hosts {
		ips = append(ips, fmt.Sprintf("%s.%d", set.Prefix, firstHost+i))
	}
	inner := []string{}
	for i := range set.Hosts {
		inner = append(inner, fmt.Sprintf("%s.%d", set.Prefix, i+1))
	}
	fle.choosePorts(append(slices.Clone(ips), inner...))
	if set.Proxies {
		fle.links = newLinks(ips)
	}
	fle.Store.Write("op/config", set.Config)
	seen := map[string]bool{}
	for _, spec := range set.Hosts {
		if !seen[spec.Zone] {
			seen[spec.Zone] = true
			fle.zones = append(fle.zones, spec.Zone)
		}
	}
	for i, spec := range set.Hosts {
		hos := &Host{HostSpec: spec, IP: ips[i], Instance: fmt.Sprintf("i-%08x", rand.Uint32()), fleet: fle, born: time.Now().UnixMilli()}
		hos.peerAt = hos.addrOf(hos.IP, 1)
		if fle.links != nil {
			hos.peerAt = hos.addrOf(inner[i], 1)
			fle.links.listen(hos.addrOf(hos.IP, 1), hos.peerAt, hos.IP)
		}
		fle.Hosts = append(fle.Hosts, hos)
		hos.startBackend(set.Handler(hos))
		hos.startStore()
		hos.writeSettings(set.Memory)
	}
	ctx, cancel := context.WithCancel(context.Background())
	fle.stopBeat = cancel
	fle.beat()
	go func() {
		tick := time.NewTicker(1500 * time.Millisecond)
		for {
			select {
			case <-tick.C:
				fle.beat()
			case <-ctx.Done():
				return
			}
		}
	}()
	for _, hos := range fle.Hosts {
		hos.Launch()
	}
	until := time.Now().Add(20 * time.Second)
	for _, hos := range fle.Hosts {
		for !hos.Ready() {
			if time.Now().After(until) {
				fle.Close()
				Fail("node %s is not ready", hos.IP)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // the machines are in touch and the host list is complete everywhere
	rec.Note("%d nodes are ready", len(fle.Hosts))
	return fle
}

func (fle *Fleet) choosePorts(ips []string) {
	for range 100 {
		base := 20000 + rand.IntN(10000)
		ok := true
		for i := range fle.ports {
			fle.ports[i] = base + i
			for _, ip := range ips {
				lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					ok = false
					break
				}
				lis.Close()
			}
		}
		if ok {
			return
		}
	}
	Fail("no free ports")
}

func (hos *Host) addrOf(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, hos.fleet.ports[port])
}

func (hos *Host) addr(port int) string { return hos.addrOf(hos.IP, port) }

// Ingress returns the address for the clients of the machine.
func (hos *Host) Ingress() string { return hos.addr(0) }

// Backend returns the address of the backend.
func (hos *Host) Backend() string { return hos.addr(4) }

func (hos *Host) startBackend(handler http.Handler) {
	lis, err := net.Listen("tcp", hos.Backend())
	if err != nil {
		Fail("%v", err)
	}
	hos.server = &http.Server{Handler: http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		wri.Header().Set("Instance-Id", hos.Instance)
		if req.URL.Path == "/health" {
			return
		}
		wri.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		if target := req.Header.Get("Target-Instance"); target != "" && target != hos.Instance {
			wri.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler.ServeHTTP(wri, req)
	})}
	go hos.server.Serve(lis)
}

// startStore opens the store at an address of its own for each machine, so that it can tell the machines apart.
func (hos *Host) startStore() {
	lis, err := net.Listen("tcp", hos.addr(5))
	if err != nil {
		Fail("%v", err)
	}
	hos.store = &http.Server{Handler: http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		hos.lastCall.Store(time.Now().UnixNano())
		if hos.refused.Load() {
			wri.Header().Set("Store-Era", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		defer context.AfterFunc(hos.turnedAway(), cancel)()
		hos.fleet.Store.ServeHTTP(wri, req.WithContext(ctx))
		if hos.refused.Load() && ctx.Err() != nil {
			panic(http.ErrAbortHandler) // a waiting watch is cut
		}
	})}
	go hos.store.Serve(lis)
}

// turnedAway returns a context that ends when the store next turns the machine away.
func (hos *Host) turnedAway() context.Context {
	hos.storeMut.Lock()
	defer hos.storeMut.Unlock()
	if hos.storeCtx == nil {
		hos.storeCtx, hos.cutStore = context.WithCancel(context.Background())
	}
	return hos.storeCtx
}

// TurnAway makes the store answer all further calls of the machine with 503, or ends that. Waiting watches are cut.
func (hos *Host) TurnAway(refused bool) {
	hos.refused.Store(refused)
	hos.storeMut.Lock()
	defer hos.storeMut.Unlock()
	if refused && hos.storeCtx != nil {
		hos.cutStore()
		hos.storeCtx = nil
	}
}

// ReadsStore reports whether the machine has called the store within the last seconds.
func (hos *Host) ReadsStore() bool {
	return time.Since(time.Unix(0, hos.lastCall.Load())) < 3*time.Second
}

// writeSettings renders the settings like deploy/node.json.tmpl.
func (hos *Host) writeSettings(memory int) {
	if memory == 0 {
		memory = 284
	}
	fle := hos.fleet
	data, _ := json.MarshalIndent(map[string]any{
		"host": hos.IP, "domain": hos.Zone, "domains": fle.zones, "service": hos.Service, "upstream": "http://" + hos.Backend(),
		"ingress": hos.addr(0), "peer": hos.peerAt, "ready": hos.addr(2), "admin": hos.addr(3), "store": hos.addr(5),
		"insecure_peers": true, "grace": "6s", "memory_mb": memory, "max_files": 4100, "retry_share": 0.2,
	}, "", "  ")
	hos.settings = filepath.Join(fle.dir, hos.IP+".json")
	if err := os.WriteFile(hos.settings, data, 0o600); err != nil {
		Fail("%v", err)
	}
}

// Launch starts the node of the machine.
func (hos *Host) Launch() {
	cmd := exec.Command("target/amaranthline", "sidecar")
	cmd.Env = append(os.Environ(), "AMARANTHLINE_CONFIG="+hos.settings)
	cmd.Stdout, cmd.Stderr = hos.fleet.log, hos.fleet.log
	if err := cmd.Start(); err != nil {
		hos.fleet.Close()
		Fail("%v", err)
	}
	ended := make(chan struct{})
	hos.cmd, hos.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
}

// Pid returns the process ID of the node.
func (hos *Host) Pid() int { return hos.cmd.Process.Pid }

// Alive reports whether the node runs.
func (hos *Host) Alive() bool {
	select {
	case <-hos.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the node.
func (hos *Host) Signal(sig syscall.Signal) { _ = hos.cmd.Process.Signal(sig) }

// Kill ends the node at once.
func (hos *Host) Kill() {
	hos.Signal(syscall.SIGKILL)
	<-hos.ended
}

// Ready reports whether the node answers the readiness check with 200.
func (hos *Host) Ready() bool {
	cli := http.Client{Timeout: time.Second}
	rsp, err := cli.Get("http://" + hos.addr(2) + "/readyz")
	if err != nil {
		return false
	}
	rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// RSS returns the resident memory of the node in bytes.
func (hos *Host) RSS() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", hos.Pid()))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib << 10
		}
	}
	return 0
}

// beat writes the entries of the backends.
func (fle *Fleet) beat() {
	fle.beatMut.Lock()
	defer fle.beatMut.Unlock()
	for _, hos := range fle.Hosts {
		hos.write()
	}
}

func (hos *Host) write() uint64 {
	if hos.gone {
		return 0
	}
	state := "ready"
	if hos.draining {
		state = "draining"
	}
	slots := hos.Slots
	if slots == 0 {
		slots = 108
	}
	hos.sequence++
	return hos.fleet.Store.Write("servers/"+hos.Instance, map[string]any{
		"service": hos.Service, "address": hos.Backend(), "zone": hos.Zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_s": 0, "sequence": hos.sequence, "born": hos.born,
	})
}

// Close ends all nodes and stand-ins.
func (fle *Fleet) Close() {
	if fle.stopBeat != nil {
		fle.stopBeat()
	}
	for _, hos := range fle.Hosts {
		if hos.cmd != nil {
			hos.Signal(syscall.SIGCONT)
			hos.Kill()
		}
		for _, srv := range []*http.Server{hos.server, hos.store} {
			if srv != nil {
				srv.Close()
			}
		}
	}
	if fle.links != nil {
		fle.links.close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		data, _ := os.ReadFile(filepath.Join(fle.dir, "nodes.log"))
		_ = os.WriteFile(keep, data, 0o600)
	}
	fle.log.Close()
	os.RemoveAll(fle.dir)
}

// Isolate cuts a machine off from all other machines of the system, silently, or ends that. It still reaches the store.
func (hos *Host) Isolate(cut bool) { hos.fleet.links.isolate(hos.IP, cut) }

// Drain makes the backend report that it is leaving, and returns once the store has accepted that.
func (hos *Host) Drain() {
	hos.fleet.beatMut.Lock()
	defer hos.fleet.beatMut.Unlock()
	hos.draining = true
	hos.write()
}

// ID returns a new identifier of a client attempt.
func ID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Service returns the entry of a service in the configuration.
func Service(connections int) map[string]any {
	return map[string]any{"health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false}
}
