//go:build review

package rig

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
)

// Exit codes of a script.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Machine is one machine of a deployment: an upstream with its node.
type Machine struct {
	IP, Zone, Service string
}

// Route is one route of the configuration.
type Route struct {
	Name, Hostname, Prefix, Type, Service string
	Timeout                               float64
	Priority                              int
}

// Fleet is a running deployment.
type Fleet struct {
	Dir       string
	Record    *Record
	Store     *Store
	Ports     Ports
	Zones     []string
	Nodes     []*Node
	Upstreams []*Upstream
	services  map[string]bool
}

// Key is the key of the only tenant.
const Key = "6wsjnbanfqasnmgkcuyj"

// NewFleet starts a store and prepares the machines; handle answers the requests at the upstreams.
func NewFleet(rec *Record, machines []Machine, handle func(*Upstream, *Conn, *http.Request) bool) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fle := &Fleet{Dir: dir, Record: rec, services: map[string]bool{}}
	if fle.Store, err = NewStore(); err != nil {
		return nil, err
	}
	var ips []string
	zones := map[string]bool{}
	for _, mac := range machines {
		ips = append(ips, mac.IP)
		fle.services[mac.Service] = true
		if !zones[mac.Zone] {
			zones[mac.Zone] = true
			fle.Zones = append(fle.Zones, mac.Zone)
		}
	}
	if fle.Ports, err = FreePorts(ips); err != nil {
		return nil, err
	}
	for _, mac := range machines {
		nod, err := NewNode(dir, mac.IP, mac.Zone, mac.Service, fle.Zones, fle.Ports, fle.Store.Addr())
		if err != nil {
			return nil, err
		}
		fle.Nodes = append(fle.Nodes, nod)
		fle.Upstreams = append(fle.Upstreams, NewUpstream(mac.IP, mac.Zone, mac.Service, fle.Ports.App, fle.Store, rec, handle))
	}
	return fle, nil
}

// WriteConfig writes a configuration with one tenant.
func (fle *Fleet) WriteConfig(version int, routes []Route) {
	table, services := map[string]any{}, map[string]any{}
	for _, rou := range routes {
		table[rou.Name] = map[string]any{
			"hostname": rou.Hostname, "path_prefix": rou.Prefix, "route_type": rou.Type, "timeout_s": rou.Timeout,
			"target_latency_s": 1.5, "priority": rou.Priority, "service": rou.Service, "max_attempts": 2, "public": false,
		}
	}
	for name := range fle.services {
		services[name] = map[string]any{
			"health_path": "/health", "max_connections": 766, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 26.0,
		}
	}
	fle.Store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": table, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": map[string]any{"pulo780": map[string]any{"api_keys": []string{Key}, "priority": 1, "rate_per_s": 0, "burst": 0}},
	})
}

// Start starts all upstreams, then all nodes at once, and waits until they are ready.
func (fle *Fleet) Start() error {
	for i, ups := range fle.Upstreams {
		if err := ups.Listen(fmt.Sprintf("i-first%d", i)); err != nil {
			return err
		}
		ups.Register()
	}
	errs := make([]error, len(fle.Nodes))
	var starts sync.WaitGroup
	for i, nod := range fle.Nodes {
		starts.Go(func() { errs[i] = nod.Start() })
	}
	starts.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes of the fleet. With REVIEW_KEEP set it keeps their logs.
func (fle *Fleet) Close() {
	for _, nod := range fle.Nodes {
		nod.Kill()
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.Rename(fle.Dir, filepath.Join(keep, filepath.Base(fle.Dir)))
		return
	}
	_ = os.RemoveAll(fle.Dir)
}
