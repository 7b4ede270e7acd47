package main

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/retry"
	"amaranthline/io/side"
	"amaranthline/platform"

	"github.com/sirupsen/logrus"
)

// settingsFileVariable names the environment variable that holds the path of a JSON file. The fields of the file set flags
// of the command.
const settingsFileVariable = "AMARANTHLINE_CONFIG"

const (
	// drainPauseFraction is the fraction of the grace time after which new calls are refused. Callers stop using the node
	// after two failed readiness checks, which takes about two seconds; the rest of the grace time is for calls in flight.
	// maxDrainPause bounds it: the platform excuses only for the first 3 s after SIGTERM that a stopping node takes a request
	// and breaks it off at the end of the grace time.
	drainPauseFraction = 0.5
	maxDrainPause      = 3 * time.Second
	// exitMargin is how long before the end of the grace time the wait for calls in flight ends, so that the process
	// exits in time.
	exitMargin = 300 * time.Millisecond
	// settingsPollInterval is the time between two reads of the settings file, which may change without a SIGHUP.
	settingsPollInterval = time.Second
)

type sidecarCommand struct {
	Host          string        `help:"IP address of this host." required:"" env:"AMARANTHLINE_HOST"`
	Domain        string        `help:"Failure domain of this host." required:"" env:"AMARANTHLINE_DOMAIN"`
	Domains       []string      `help:"All failure domains." required:"" env:"AMARANTHLINE_DOMAINS"`
	Service       string        `help:"Service of the upstream." required:"" env:"AMARANTHLINE_SERVICE"`
	Upstream      string        `help:"Base URL of the upstream." required:"" env:"AMARANTHLINE_UPSTREAM"`
	Connections   int           `name:"upstream-connections" help:"Limit on connections to the upstream." default:"512" env:"AMARANTHLINE_UPSTREAM_CONNECTIONS"`
	Ingress       string        `help:"Address for callers and for nested calls of the upstream." required:"" env:"AMARANTHLINE_INGRESS"`
	Peer          string        `help:"Address for other nodes; its port is the same on all hosts." required:"" env:"AMARANTHLINE_PEER"`
	Ready         string        `help:"Address for readiness checks." required:"" env:"AMARANTHLINE_READY"`
	Admin         string        `help:"Address for operators." required:"" env:"AMARANTHLINE_ADMIN"`
	Store         string        `help:"Address of the platform's store." required:"" env:"AMARANTHLINE_STORE"`
	InsecurePeers bool          `help:"Reach peers outside loopback without TLS." env:"AMARANTHLINE_INSECURE_PEERS"`
	Grace         time.Duration `help:"Time from SIGTERM to the end of the process." default:"6s" env:"AMARANTHLINE_GRACE"`
	Scheduling    string        `help:"What decides where calls run and who is refused: latency, work, or auto for work unless a service declares a cold rate." default:"auto" enum:"auto,latency,work" env:"AMARANTHLINE_SCHEDULING"`
	MemoryMB      int           `name:"memory-mb" help:"Memory of the machine in MB, part of which callers may make the process hold; 0 counts as 1024." default:"0" env:"AMARANTHLINE_MEMORY_MB"`
	MaxFiles      int           `help:"Descriptors that the process may open, part of which are for callers; 0 counts as 16384." default:"0" env:"AMARANTHLINE_MAX_FILES"`
	RetryShare    float64       `help:"Most retries to a service as a fraction of the calls to it." default:"0.2" env:"AMARANTHLINE_RETRY_SHARE"`
}

func (cmd *sidecarCommand) settings() side.Settings {
	pause := min(time.Duration(drainPauseFraction*float64(cmd.Grace)), maxDrainPause)
	return side.Settings{
		Host: cmd.Host, Domain: cmd.Domain, Service: cmd.Service, Upstream: cmd.Upstream, Connections: cmd.Connections,
		Ingress: cmd.Ingress, Peer: cmd.Peer, Ready: cmd.Ready, Admin: cmd.Admin, InsecurePeers: cmd.InsecurePeers,
		Scheduling: proxy.Scheduling(cmd.Scheduling), MemoryMB: cmd.MemoryMB, MaxFiles: cmd.MaxFiles,
		RetryShare: retry.NestedShareFactor * cmd.RetryShare, DrainPause: pause, DrainTimeout: max(cmd.Grace-pause-exitMargin, exitMargin),
	}
}

// Run runs the node until SIGTERM or SIGINT.
func (cmd *sidecarCommand) Run(ctx context.Context, cmds *commands) error {
	// SIGHUP stays caught until the process ends, also during a graceful shutdown, because its default action ends the
	// process at once.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	output := side.NewAsyncWriter(os.Stdout)
	defer output.Close()
	log := newLogger(cmds)
	log.SetOutput(output)
	log.SetFormatter(&logrus.JSONFormatter{})
	eventLog := side.NewEventLog(log)
	set := cmd.settings()
	if err := set.Check(); err != nil {
		return err
	}
	if !slices.Contains(cmd.Domains, cmd.Domain) {
		return fmt.Errorf("--domain %q is not among --domains %q; list all failure domains in --domains", cmd.Domain, cmd.Domains)
	}
	peerAddr, err := netip.ParseAddrPort(cmd.Peer)
	if err != nil {
		return err
	}
	source := platform.NewConfigSource(platform.Settings{
		Address: cmd.storeAddress(), Zones: cmd.Domains, PeerPort: peerAddr.Port(), EventLog: eventLog,
	})
	nod, err := side.New(set, side.Adapter{
		Source: source, IgnoredEntries: source.IgnoredEntries, Callers: platform.CallerDialect{}, Upstream: platform.UpstreamDialect{},
	}, eventLog, log)
	if err != nil {
		return err
	}
	go watchSettings(ctx, hangup, func() { reloadSettings(cmd, source, nod, log) })
	return nod.Run(ctx)
}

// watchSettings calls onChange at each hangup signal and when the content of the settings file has changed, until the
// context ends.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, onChange func()) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	path := os.Getenv(settingsFileVariable)
	last, _ := os.ReadFile(path) // a file that cannot be read yet counts as changed once it can
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			onChange()
		case <-tick.C:
			data, err := os.ReadFile(path)
			if err == nil && !bytes.Equal(data, last) {
				last = data
				onChange()
			}
		}
	}
}

// reloadSettings applies the store address and the settings that Node.Reload takes. If the new settings are invalid, the
// old ones stay in force; if others have changed, the log line says that they need a restart.
func reloadSettings(old *sidecarCommand, source *platform.ConfigSource, nod *side.Node, log *logrus.Logger) {
	var cmds commands
	parser, err := newParser(&cmds)
	if err == nil {
		_, err = parser.Parse(os.Args[1:])
	}
	if err == nil {
		set := cmds.Sidecar.settings()
		err = set.Check()
	}
	if err != nil {
		log.WithError(err).Error("settings not reloaded; the previous settings stay in force; correct the settings file")
		return
	}
	cmd := &cmds.Sidecar
	source.SetAddress(cmd.storeAddress())
	nod.Reload(cmd.settings())
	restartNeeded := cmd.Host != old.Host || cmd.Domain != old.Domain || cmd.Service != old.Service || cmd.Upstream != old.Upstream ||
		cmd.Ingress != old.Ingress || cmd.Peer != old.Peer || cmd.Ready != old.Ready || cmd.Admin != old.Admin ||
		cmd.Scheduling != old.Scheduling || cmd.MemoryMB != old.MemoryMB || cmd.MaxFiles != old.MaxFiles
	log.WithFields(logrus.Fields{
		"store": cmd.Store, "grace": cmd.Grace, "retry_share": cmd.RetryShare, "others_need_restart": restartNeeded,
	}).Info("settings reloaded")
}

// storeAddress returns the store's address without the scheme.
func (cmd *sidecarCommand) storeAddress() string { return strings.TrimPrefix(cmd.Store, "http://") }
