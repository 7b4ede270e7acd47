package side

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"
	"amaranthline/io/base"
)

// Settings configures a Node.
type Settings struct {
	Host          string // ID of this node's host
	Domain        string
	Service       string
	Upstream      string           // base URL of the upstream
	Connections   int              // maximum number of connections to the upstream
	Ingress       string           // listen address for callers and for nested calls of the node's own upstream
	Peer          string           // listen address for other nodes
	Ready         string           // listen address for readiness checks
	Admin         string           // listen address for operators
	InsecurePeers bool             // connect to peers outside loopback without TLS
	Scheduling    proxy.Scheduling // what decides where calls run and who is refused
	MemoryMB      int              // memory of the machine, of which callers may use a part; 0 counts as 1024
	MaxFiles      int              // descriptors that the process may open; 0 counts as 16384
	RetryShare    float64          // maximum ratio of retries to a service to the calls that this node sends to it; 0 to 1
	DrainPause    time.Duration    // from the announcement of a shutdown until new calls of peers are refused; peers and callers switch hosts meanwhile
	DrainTimeout  time.Duration    // longest wait for calls in flight, after DrainPause
}

// Adapter connects a node to the platform on which it runs.
type Adapter struct {
	Source         core.ConfigSource
	IgnoredEntries func() int // number of registry entries that Source read and cannot use; may be nil
	Callers        core.CallerDialect
	Upstream       core.UpstreamDialect
}

// Check returns an error that names wrong settings and the remedies.
func (set *Settings) Check() error {
	err := errors.Join(
		base.CheckName("host", set.Host), base.CheckName("domain", set.Domain), base.CheckName("service", set.Service),
		base.CheckAddress("ingress", set.Ingress), base.CheckAddress("peer", set.Peer),
		base.CheckAddress("ready", set.Ready), base.CheckAddress("admin", set.Admin),
	)
	if err != nil {
		return err
	}
	if baseURL, err := url.Parse(set.Upstream); err != nil || baseURL.Scheme != "http" || baseURL.Host == "" {
		return base.NewSettingError("upstream", fmt.Sprintf("is %q", set.Upstream), "give a URL such as http://127.0.0.1:8080")
	}
	if !set.InsecurePeers && !base.IsLoopback(set.Peer) {
		return base.NewSettingError("peer", fmt.Sprintf("is %q without TLS", set.Peer), "listen on loopback, or accept the risk with --insecure-peers")
	}
	switch {
	case set.Connections < 1:
		return base.NewSettingError("upstream-connections", fmt.Sprintf("is %d", set.Connections), "give at least 1")
	case !set.Scheduling.Valid():
		return base.NewSettingError("scheduling", fmt.Sprintf("is %q", set.Scheduling), "give auto, latency or work")
	case set.MemoryMB < 0:
		return base.NewSettingError("memory-mb", fmt.Sprintf("is %d", set.MemoryMB), "give the memory of the machine in MB, or 0")
	case set.MaxFiles < 0:
		return base.NewSettingError("max-files", fmt.Sprintf("is %d", set.MaxFiles), "give the number of descriptors, or 0")
	case set.RetryShare < 0 || set.RetryShare > 1:
		return base.NewSettingError("retry-share", fmt.Sprintf("is %v", set.RetryShare), "give a number from 0 to 1")
	case set.DrainPause < 0:
		return base.NewSettingError("drain-pause", fmt.Sprintf("is %s", set.DrainPause), "give a duration of 0 or more")
	case set.DrainTimeout <= 0:
		return base.NewSettingError("drain-timeout", fmt.Sprintf("is %s", set.DrainTimeout), "give a duration above zero")
	}
	return nil
}
