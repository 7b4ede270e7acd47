package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"amaranthline/io/base"
)

// Settings configures a Node.
type Settings struct {
	Host         string // ID of this node's host
	Domain       string
	Service      string
	Upstream     string        // base URL of the upstream
	Connections  int           // maximum number of connections to the upstream
	Ingress      string        // listen address for callers
	Nested       string        // listen address on loopback for nested calls of the node's own upstream
	Peer         string        // listen address for other nodes
	Admin        string        // listen address for operators
	ConfigURLs   []string      // base URLs of the configuration service
	Seeds        []string      // peers to ask before the first host list arrives, as HOST=ADDRESS
	TLSCert      string        // PEM certificate of this node
	TLSKey       string        // PEM private key of TLSCert; secret
	TLSCA        string        // PEM certificates that sign the certificates of all nodes
	MemoryMB     int           // memory that the process may use, in MB; 0 means that it is not bounded
	MaxFiles     int           // descriptors that the process may open; 0 means the limit of the operating system
	DrainTimeout time.Duration // longest wait for calls in flight, after DrainPause
	DrainPause   time.Duration // from the announcement of a shutdown until listeners close; peers and callers switch hosts meanwhile
}

// Check returns an error that names the first wrong setting and the remedy.
func (set *Settings) Check() error {
	for _, err := range []error{
		set.checkNames(), set.checkURLs(), set.checkAddresses(), set.checkSeeds(), set.checkPeerSecurity(),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func (set *Settings) checkNames() error {
	for _, err := range []error{
		base.CheckName("host", set.Host), base.CheckName("domain", set.Domain), base.CheckName("service", set.Service),
	} {
		if err != nil {
			return err
		}
	}
	if set.Connections < 1 {
		return base.NewSettingError("upstream-connections", fmt.Sprintf("is %d", set.Connections), "give at least 1")
	}
	if set.MemoryMB < 0 {
		return base.NewSettingError("memory-mb", fmt.Sprintf("is %d", set.MemoryMB), "give the memory of the machine in MB, or 0")
	}
	if set.MaxFiles < 0 {
		return base.NewSettingError("max-files", fmt.Sprintf("is %d", set.MaxFiles), "give the number of descriptors, or 0")
	}
	if set.DrainTimeout <= 0 {
		return base.NewSettingError("drain-timeout", fmt.Sprintf("is %s", set.DrainTimeout), "give a duration above zero")
	}
	return nil
}

func (set *Settings) checkURLs() error {
	if err := checkURL("upstream", set.Upstream); err != nil {
		return err
	}
	if len(set.ConfigURLs) == 0 {
		return base.NewSettingError("platform", "is missing", "give at least one URL of the configuration service")
	}
	for _, raw := range set.ConfigURLs {
		if err := checkURL("platform", raw); err != nil {
			return err
		}
	}
	return nil
}

func checkURL(flag, raw string) error {
	parsed, err := url.Parse(raw)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return base.NewSettingError(flag, fmt.Sprintf("is %q", raw), "give a URL such as http://127.0.0.1:8080")
	}
	return nil
}

func (set *Settings) checkAddresses() error {
	for _, err := range []error{
		base.CheckAddress("ingress", set.Ingress), base.CheckAddress("nested", set.Nested),
		base.CheckAddress("peer", set.Peer), base.CheckAddress("admin", set.Admin),
	} {
		if err != nil {
			return err
		}
	}
	if !base.IsLoopback(set.Nested) {
		return base.NewSettingError("nested", fmt.Sprintf("is %q", set.Nested), "give a loopback address; only the own upstream may call it")
	}
	return nil
}

func (set *Settings) checkSeeds() error {
	for _, seed := range set.Seeds {
		host, addr, found := strings.Cut(seed, "=")
		if _, err := netip.ParseAddrPort(addr); !found || host == "" || err != nil {
			return base.NewSettingError("seed", fmt.Sprintf("is %q", seed), "give HOST=ADDRESS such as h1=10.0.0.1:7002")
		}
	}
	return nil
}

func (set *Settings) checkPeerSecurity() error {
	tlsGiven := set.TLSCert != "" || set.TLSKey != "" || set.TLSCA != ""
	if !tlsGiven && !base.IsLoopback(set.Peer) {
		return base.NewSettingError("peer", fmt.Sprintf("is %q without TLS", set.Peer),
			"set --tls-cert, --tls-ca and AMARANTHLINE_TLS_KEY, or listen on loopback")
	}
	if !tlsGiven {
		return nil
	}
	_, err := set.TLS()
	return err
}

// TLS returns the configuration for mutual TLS between nodes, or nil when no certificate, key or CA is set.
func (set *Settings) TLS() (*tls.Config, error) {
	if set.TLSCert == "" && set.TLSKey == "" && set.TLSCA == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(set.TLSCert), []byte(set.TLSKey))
	if err != nil {
		return nil, base.NewSettingError("tls-cert", "does not match the private key in AMARANTHLINE_TLS_KEY, or one of them is not PEM", "give a PEM certificate and its PEM key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(set.TLSCA)) {
		return nil, base.NewSettingError("tls-ca", "holds no certificate", "give the PEM certificates that sign the nodes' certificates")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
