//go:build review

package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports are the ports of a deployment; they are the same on all its machines.
type Ports struct {
	Inbound, Outbound, Ready, Internal, App int
}

// FreePorts returns ports that are free on all given addresses.
func FreePorts(ips []string) (Ports, error) {
	var got []int
	for port := 21000 + os.Getpid()%9000; len(got) < 5 && port < 32000; port++ {
		if portIsFree(ips, port) {
			got = append(got, port)
		}
	}
	if len(got) < 5 {
		return Ports{}, errors.New("no free ports")
	}
	return Ports{Inbound: got[0], Outbound: got[1], Ready: got[2], Internal: got[3], App: got[4]}, nil
}

func portIsFree(ips []string, port int) bool {
	for _, ip := range ips {
		lis, err := net.Listen("tcp", Addr(ip, port))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}

// Addr joins an address and a port.
func Addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Node is the sidecar of one machine, started with the command and the settings of the deploy file.
type Node struct {
	IP, Zone, Service string
	Ports             Ports

	settings string
	log      *os.File
	cmd      *exec.Cmd
	ended    chan struct{}
}

// NewNode writes the settings file of a node as deploy/node.json.tmpl renders it.
func NewNode(dir, ip, zone, service string, zones []string, por Ports, store string) (*Node, error) {
	nod := &Node{IP: ip, Zone: zone, Service: service, Ports: por, settings: filepath.Join(dir, ip+".json")}
	data, err := json.MarshalIndent(map[string]any{
		"host": ip, "domain": zone, "domains": zones, "service": service, "upstream": "http://" + Addr(ip, por.App),
		"ingress": Addr(ip, por.Outbound), "peer": Addr(ip, por.Inbound), "ready": Addr(ip, por.Ready),
		"admin": Addr(ip, por.Internal), "store": store, "insecure_peers": true, "grace": "6s", "retry_share": 0.2,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(nod.settings, data, 0o600); err != nil {
		return nil, err
	}
	nod.log, err = os.Create(filepath.Join(dir, ip+".log"))
	return nod, err
}

// Start starts the process and waits until it is ready.
func (nod *Node) Start() error {
	cmd := exec.Command("target/amaranthline", "sidecar")
	cmd.Env = []string{"AMARANTHLINE_CONFIG=" + nod.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = nod.log, nod.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	nod.cmd, nod.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) { _ = cmd.Wait(); close(ended) }(nod.ended)
	return nod.AwaitReady(15 * time.Second)
}

// AwaitReady waits until the node answers the platform's readiness check with 200.
func (nod *Node) AwaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil {
		rsp, err := cli.Get("http://" + Addr(nod.IP, nod.Ports.Ready) + "/readyz")
		if err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the node at %s was not ready within %v", nod.IP, limit)
}

// Signal sends a signal to the process.
func (nod *Node) Signal(sig syscall.Signal) { _ = nod.cmd.Process.Signal(sig) }

// Running reports whether the process has not ended.
func (nod *Node) Running() bool {
	select {
	case <-nod.ended:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM, and SIGKILL when the grace time is over.
func (nod *Node) Stop() {
	nod.Signal(syscall.SIGTERM)
	select {
	case <-nod.ended:
	case <-time.After(6 * time.Second):
		nod.Kill()
	}
}

// Kill ends the process at once.
func (nod *Node) Kill() {
	if nod.cmd == nil {
		return
	}
	nod.Signal(syscall.SIGKILL)
	<-nod.ended
}
