package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"amaranthline/stand/conf"

	"github.com/rotisserie/eris"
)

const (
	portUpstream        = 8080
	portUpstreamControl = 8081
	portIngress         = 7000
	portNested          = 7001
	portPeer            = 7002
	portAdmin           = 7003
	portConfigService   = 7100
	readyTimeout        = 20 * time.Second
	pollInterval        = 20 * time.Millisecond
	stopTimeout         = 40 * time.Second
	maxSeeds            = 3 // peers that a node can contact before it has a host list
)

// Host is one host of a fleet with its two processes.
type Host struct {
	id       string
	domain   string
	service  *Service
	ip       string
	peer     string // peer address in the host list
	leaving  bool
	node     *process
	upstream *process
}

// ID returns the host's name.
func (hos *Host) ID() string { return hos.id }

// Domain returns the host's failure domain.
func (hos *Host) Domain() string { return hos.domain }

// Ingress returns the base URL for callers of the node.
func (hos *Host) Ingress() string { return "http://" + addr(hos.ip, portIngress) }

// Peer returns the node's peer address in the host list.
func (hos *Host) Peer() string { return hos.peer }

// Admin returns the base URL for operators of the node.
func (hos *Host) Admin() string { return "http://" + addr(hos.ip, portAdmin) }

// Control returns the base URL of the upstream stand-in's control port.
func (hos *Host) Control() string { return "http://" + addr(hos.ip, portUpstreamControl) }

// Node returns the node's process.
func (hos *Host) Node() Process { return hos.node }

// Upstream returns the process of the upstream stand-in.
func (hos *Host) Upstream() Process { return hos.upstream }

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Process is one process of the fleet.
type Process interface {
	// Signal sends a signal to the process.
	Signal(sig syscall.Signal) error
	// Stop sends SIGTERM, waits for the process to exit and returns its exit error.
	Stop() error
	// Kill sends SIGKILL and waits for the process to exit.
	Kill()
	// Restart starts the process again after it has exited.
	Restart() error
	// Exited reports whether the process has exited.
	Exited() bool
	// PID returns the ID of the process that was started last.
	PID() int
}

// process is a child process that can be restarted.
type process struct {
	binary  string
	args    []string
	log     io.Writer
	mut     sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	exitErr error
}

// Restart starts the process for the first time or again.
func (pro *process) Restart() error {
	pro.mut.Lock()
	defer pro.mut.Unlock()
	cmd := exec.Command(pro.binary, pro.args...)
	cmd.Stdout, cmd.Stderr = pro.log, pro.log
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "cannot start program %s; check that it is built", pro.binary)
	}
	ended := make(chan struct{})
	pro.cmd, pro.ended = cmd, ended
	go func() {
		pro.exitErr = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (pro *process) Signal(sig syscall.Signal) error { return pro.cmd.Process.Signal(sig) }

// Stop sends SIGTERM, waits for the process to exit and returns its exit error, or kills it after stopTimeout.
func (pro *process) Stop() error {
	_ = pro.Signal(syscall.SIGTERM)
	select {
	case <-pro.ended:
		return pro.exitErr
	case <-time.After(stopTimeout):
		pro.Kill()
		return eris.Errorf("process %d did not exit within %s of SIGTERM and was killed; see its log", pro.cmd.Process.Pid, stopTimeout)
	}
}

// Exited reports whether the process has exited.
func (pro *process) Exited() bool {
	select {
	case <-pro.ended:
		return true
	default:
		return false
	}
}

// PID returns the ID of the process that was started last.
func (pro *process) PID() int { return pro.cmd.Process.Pid }

// Kill sends SIGKILL and waits for the process to exit.
func (pro *process) Kill() {
	_ = pro.Signal(syscall.SIGKILL)
	<-pro.ended
}

// Fleet is a set of running hosts and the configuration services that they read.
type Fleet struct {
	plan                Plan
	binary              string
	log                 io.Writer
	configServices      []*configService
	hosts               []*Host
	declarationsVersion uint64
	hostListVersion     uint64
}

// configService is a stand-in for the configuration service with its HTTP server.
type configService struct {
	service *conf.Service
	server  *http.Server
	url     string
}

func newConfigService(lis net.Listener) *configService {
	cfs := &configService{service: conf.New(), url: "http://" + lis.Addr().String()}
	cfs.server = &http.Server{Handler: cfs.service, ReadHeaderTimeout: time.Second}
	go cfs.server.Serve(lis) //nolint:errcheck // ends with Close
	return cfs
}

// Start publishes the plan, starts all processes and waits until every node is ready.
func Start(ctx context.Context, binary string, plan Plan, log io.Writer) (*Fleet, error) {
	fle := &Fleet{plan: plan, binary: binary, log: log}
	prefix, lis, err := listenOnFreePrefix()
	if err != nil {
		return nil, err
	}
	fle.configServices = []*configService{newConfigService(lis)}
	if err := fle.addConfigServices(prefix); err != nil {
		return nil, err
	}
	if err := fle.addHosts(prefix); err != nil {
		return nil, err
	}
	if err := fle.Publish(plan); err != nil {
		return nil, err
	}
	if err := fle.PublishHosts(); err != nil {
		return nil, err
	}
	if err := fle.startAll(ctx); err != nil {
		fle.Close()
		return nil, err
	}
	return fle, nil
}

// listenOnFreePrefix finds a /24 prefix of the loopback range that no other fleet uses, so that several fleets can run at
// the same time. It returns the first three octets and the listener of the first configuration service.
func listenOnFreePrefix() (prefix string, lis net.Listener, err error) {
	start := os.Getpid()
	for attempt := range 200 {
		index := (start + attempt*7919) % (120 * 200)
		prefix = fmt.Sprintf("127.%d.%d", 100+index/200, 1+index%200)
		lis, err = net.Listen("tcp", addr(prefix+".250", portConfigService))
		if err == nil {
			return prefix, lis, nil
		}
	}
	return "", nil, eris.Wrap(err, "no loopback prefix is free for the fleet; end other fleets first")
}

// addConfigServices starts the configuration services of the plan after the first.
func (fle *Fleet) addConfigServices(prefix string) error {
	for len(fle.configServices) < fle.plan.ConfigServices {
		lis, err := net.Listen("tcp", addr(prefix+".250", portConfigService+len(fle.configServices)))
		if err != nil {
			return err
		}
		fle.configServices = append(fle.configServices, newConfigService(lis))
	}
	return nil
}

// addHosts adds a host for each service and failure domain. The processes are prepared once all hosts have addresses,
// because a node gets the addresses of other nodes as seeds.
func (fle *Fleet) addHosts(prefix string) error {
	for i := range fle.plan.Services {
		for _, domain := range fle.plan.Domains {
			ser := &fle.plan.Services[i]
			hos := &Host{id: ser.Name + "-" + domain, domain: domain, service: ser, ip: fmt.Sprintf("%s.%d", prefix, len(fle.hosts)+1)}
			hos.peer = addr(hos.ip, portPeer)
			if err := fle.plan.advertise(hos); err != nil {
				return err
			}
			fle.hosts = append(fle.hosts, hos)
		}
	}
	for i, hos := range fle.hosts {
		hos.upstream = &process{binary: fle.binary, args: hos.upstreamArgs(), log: fle.log}
		args := append(hos.nodeArgs(fle.configServiceURL(i)), fle.seedArgs(i)...)
		hos.node = &process{binary: fle.binary, args: args, log: fle.log}
	}
	return nil
}

// configServiceURL returns the URL of the configuration service that the node of the host with this index reads. All hosts
// of one service read the same one, so that each failure domain has nodes that read each configuration service.
func (fle *Fleet) configServiceURL(index int) string {
	return fle.configServices[index/len(fle.plan.Domains)%len(fle.configServices)].url
}

// seedArgs returns the flags that name the seeds of the node of the host with this index: the next maxSeeds hosts.
func (fle *Fleet) seedArgs(index int) []string {
	var args []string
	for i := range min(maxSeeds, len(fle.hosts)-1) {
		hos := fle.hosts[(index+1+i)%len(fle.hosts)]
		args = append(args, "--seed", hos.id+"="+hos.peer)
	}
	return args
}

func (hos *Host) upstreamArgs() []string {
	ser := hos.service
	args := []string{
		"stand", "origin", "--listen", addr(hos.ip, portUpstream), "--control", addr(hos.ip, portUpstreamControl),
		"--node", "http://" + addr(hos.ip, portNested), "--slots", strconv.Itoa(ser.Slots),
		"--connections", strconv.Itoa(ser.Connections), "--service-time", ser.ServiceTime.String(),
	}
	for _, call := range ser.NestedCalls {
		args = append(args, "--call", call)
	}
	return append(args, ser.UpstreamArgs...)
}

func (hos *Host) nodeArgs(configURL string) []string {
	return []string{
		"--log-level", "warn", "node", "--host", hos.id, "--domain", hos.domain, "--service", hos.service.Name,
		"--upstream", "http://" + addr(hos.ip, portUpstream), "--upstream-connections", strconv.Itoa(hos.service.Connections),
		"--ingress", addr(hos.ip, portIngress), "--nested", addr(hos.ip, portNested),
		"--peer", addr(hos.ip, portPeer), "--admin", addr(hos.ip, portAdmin), "--platform", configURL,
	}
}

func (fle *Fleet) startAll(ctx context.Context) error {
	for _, hos := range fle.hosts {
		if err := hos.upstream.Restart(); err != nil {
			return err
		}
		if err := hos.node.Restart(); err != nil {
			return err
		}
	}
	for _, hos := range fle.hosts {
		if err := hos.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the node of the host reports that it is ready.
func (hos *Host) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if status, _, err := httpGet(ctx, hos.Admin()+"/readyz"); err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("node of host %s was not ready within %s; see the log of the node", hos.id, readyTimeout)
		case <-time.After(pollInterval):
		}
	}
}

func httpGet(ctx context.Context, url string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// Hosts returns all hosts.
func (fle *Fleet) Hosts() []*Host { return fle.hosts }

// Host returns a host by its ID, or nil if there is none.
func (fle *Fleet) Host(id string) *Host {
	for _, hos := range fle.hosts {
		if hos.id == id {
			return hos
		}
	}
	return nil
}

// FirstConfigService returns the first configuration service.
func (fle *Fleet) FirstConfigService() *conf.Service { return fle.configServices[0].service }

// DeclarationsVersion returns the highest version of the declarations published so far.
func (fle *Fleet) DeclarationsVersion() uint64 { return fle.declarationsVersion }

// PublishTo publishes the declarations of a changed plan under a given version, only in the configuration service with this
// index.
func (fle *Fleet) PublishTo(index int, version uint64, plan Plan) error {
	fle.declarationsVersion = max(fle.declarationsVersion, version)
	return PutJSON(fle.configServices[index].url+"/v1/values/declarations", plan.declarations(version))
}

// Publish publishes the declarations of a changed plan as the next version in all configuration services.
func (fle *Fleet) Publish(plan Plan) error {
	fle.plan.OutDomains, fle.plan.RevokedTeams = plan.OutDomains, plan.RevokedTeams
	fle.plan.Classes, fle.plan.Teams = plan.Classes, plan.Teams
	fle.declarationsVersion++
	return fle.putToAll("/v1/values/declarations", plan.declarations(fle.declarationsVersion))
}

// PublishHosts publishes the current hosts as the next version of the host list.
func (fle *Fleet) PublishHosts() error {
	fle.hostListVersion++
	hosts := []object{}
	for _, hos := range fle.hosts {
		state := "live"
		if hos.leaving {
			state = "leaving"
		}
		hosts = append(hosts, object{
			"id": hos.id, "domain": hos.domain, "service": hos.service.Name, "peer": hos.peer, "state": state,
		})
	}
	return fle.putToAll("/v1/values/hosts", marshal(object{"version": fle.hostListVersion, "hosts": hosts}))
}

// SetMode sets the mode of all configuration services: live, stale or down.
func (fle *Fleet) SetMode(mode string) error {
	return fle.putToAll("/v1/mode", []byte(`{"mode":"`+mode+`"}`))
}

func (fle *Fleet) putToAll(path string, data []byte) error {
	for _, cfs := range fle.configServices {
		if err := PutJSON(cfs.url+path, data); err != nil {
			return err
		}
	}
	return nil
}

// PutJSON sends a JSON document and returns an error unless the answer has a status below 300.
func PutJSON(url string, data []byte) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(res.Body)
		return eris.Errorf("PUT %s: %s: %s", url, res.Status, text)
	}
	return nil
}

// GetJSON reads a JSON document into a value.
func GetJSON(ctx context.Context, url string, out any) error {
	_, body, err := httpGet(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Close kills all processes and closes the configuration services.
func (fle *Fleet) Close() {
	for _, hos := range fle.hosts {
		for _, pro := range []*process{hos.node, hos.upstream} {
			if pro.cmd != nil {
				_ = pro.Signal(syscall.SIGCONT)
				pro.Kill()
			}
		}
	}
	for _, cfs := range fle.configServices {
		_ = cfs.server.Close()
	}
}
