package side

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"amaranthline/core"
)

// Settings configures a Node; Check reports what is wrong with them.
type Settings struct {
	Host          string // ID of this host on the host list
	Domain        string
	Service       string
	Upstream      string // base URL
	Connections   int    // bound on connections to the upstream
	Ingress       string // address for callers and for the own upstream
	Peer          string // address for other nodes
	Ready         string // address that is asked whether the node should get callers
	Admin         string // address for operators
	InsecurePeers bool   // peers outside loopback are reached without TLS
	RetryShare    float64
	DrainPause    time.Duration // in which callers and peers move away before listeners close
	DrainTimeout  time.Duration // for calls in progress after that
}

// Adapter translates between the product and the deployment around it.
type Adapter struct {
	Source   core.Source
	Callers  core.CallerDialect
	Upstream core.UpstreamDialect
}

// SettingError names a setting, what is wrong with it and the remedy.
type SettingError struct {
	flag   string
	detail string
	remedy string
}

// Error returns the setting, the fault and the remedy.
func (ser *SettingError) Error() string {
	return fmt.Sprintf("--%s %s; %s", ser.flag, ser.detail, ser.remedy)
}

func fault(flag, detail, remedy string) error {
	return &SettingError{flag: flag, detail: detail, remedy: remedy}
}

// Check returns the first fault of the settings.
func (set *Settings) Check() error {
	for _, nam := range []struct{ flag, value string }{
		{"host", set.Host}, {"domain", set.Domain}, {"service", set.Service},
	} {
		if nam.value == "" || strings.ContainsAny(nam.value, "/ \t\n") {
			return fault(nam.flag, fmt.Sprintf("is %q", nam.value), "give a non-empty name without slashes and spaces")
		}
	}
	for _, add := range []struct{ flag, value string }{
		{"ingress", set.Ingress}, {"peer", set.Peer}, {"ready", set.Ready}, {"admin", set.Admin},
	} {
		if _, err := netip.ParseAddrPort(add.value); err != nil {
			return fault(add.flag, fmt.Sprintf("is %q", add.value), "give a numeric IP address and port such as 10.0.0.1:7000")
		}
	}
	if loc, err := url.Parse(set.Upstream); err != nil || loc.Scheme != "http" || loc.Host == "" {
		return fault("upstream", fmt.Sprintf("is %q", set.Upstream), "give a URL such as http://127.0.0.1:8080")
	}
	peer, _ := netip.ParseAddrPort(set.Peer)
	if !set.InsecurePeers && !peer.Addr().Unmap().IsLoopback() {
		return fault("peer", fmt.Sprintf("is %q without TLS", set.Peer), "listen on loopback, or accept the risk with --insecure-peers")
	}
	switch {
	case set.Connections < 1:
		return fault("upstream-connections", fmt.Sprintf("is %d", set.Connections), "give at least 1")
	case set.RetryShare < 0 || set.RetryShare > 1:
		return fault("retry-share", fmt.Sprintf("is %v", set.RetryShare), "give a share from 0 to 1")
	case set.DrainPause < 0:
		return fault("drain-pause", fmt.Sprintf("is %s", set.DrainPause), "give a duration of 0 or more")
	case set.DrainTimeout <= 0:
		return fault("drain-timeout", fmt.Sprintf("is %s", set.DrainTimeout), "give a duration above zero")
	}
	return nil
}
