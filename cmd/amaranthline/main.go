// Command amaranthline runs a node, checks configuration documents, shows the status of a node, and runs a demonstration.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"amaranthline/core/state/decl"
	"amaranthline/io/base"
	"amaranthline/io/node"
	"amaranthline/stand/demo"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	exitFailure   = 1
	exitUsage     = 2
	statusTimeout = 5 * time.Second
	version       = "0.1.0"
)

// commands is the command line as kong parses it; flag names derive from the field names.
type commands struct {
	LogLevel  string `help:"Lowest level of log lines that are written." enum:"debug,info,warn,error" default:"info" env:"AMARANTHLINE_LOG_LEVEL"`
	LogFormat string `help:"Format of log lines." enum:"text,json" default:"text" env:"AMARANTHLINE_LOG_FORMAT"`

	Node    nodeCommand    `cmd:"" help:"Run the node beside an upstream."`
	Sidecar sidecarCommand `cmd:"" help:"Run the sidecar node beside an upstream on the users' platform."`
	Check   checkCommand   `cmd:"" help:"Check a file of declarations or a host list."`
	Status  statusCommand  `cmd:"" help:"Show the status of a running node."`
	Explain explainCommand `cmd:"" help:"Show where a request would go now at a sidecar node, and why; AMARANTHLINE_KEY holds its key."`
	Version versionCommand `cmd:"" help:"Show the version."`
	Demo    demoCommand    `cmd:"" help:"Run a small fleet on loopback under overload and print a table."`
	Stand   standCommands  `cmd:"" help:"Run a stand-in for tests."`
}

type nodeCommand struct {
	Host         string        `help:"ID of this host on the host list." required:"" env:"AMARANTHLINE_HOST"`
	Domain       string        `help:"Failure domain of this host." required:"" env:"AMARANTHLINE_DOMAIN"`
	Service      string        `help:"Service of the upstream." required:"" env:"AMARANTHLINE_SERVICE"`
	Upstream     string        `help:"Base URL of the upstream." required:"" env:"AMARANTHLINE_UPSTREAM"`
	Connections  int           `name:"upstream-connections" help:"Limit on connections to the upstream." default:"100" env:"AMARANTHLINE_UPSTREAM_CONNECTIONS"`
	Ingress      string        `help:"Address for callers." default:"127.0.0.1:7000" env:"AMARANTHLINE_INGRESS"`
	Nested       string        `help:"Loopback address for nested calls of the upstream." default:"127.0.0.1:7001" env:"AMARANTHLINE_NESTED"`
	Peer         string        `help:"Address for other nodes." default:"127.0.0.1:7002" env:"AMARANTHLINE_PEER"`
	Admin        string        `help:"Address for operators." default:"127.0.0.1:7003" env:"AMARANTHLINE_ADMIN"`
	Platform     []string      `help:"URLs of the configuration service." required:"" env:"AMARANTHLINE_PLATFORM"`
	Seed         []string      `help:"Peers to ask before the first host list arrives, as HOST=ADDRESS." env:"AMARANTHLINE_SEED"`
	TLSCert      string        `name:"tls-cert" help:"PEM certificate of this node." env:"AMARANTHLINE_TLS_CERT"`
	TLSCA        string        `name:"tls-ca" help:"PEM certificates that sign the nodes' certificates." env:"AMARANTHLINE_TLS_CA"`
	MemoryMB     int           `name:"memory-mb" help:"Memory that the process may use, in MB; 0 for no bound." default:"0" env:"AMARANTHLINE_MEMORY_MB"`
	MaxFiles     int           `help:"Descriptors that the process may open; 0 for the limit of the operating system." default:"0" env:"AMARANTHLINE_MAX_FILES"`
	DrainTimeout time.Duration `help:"Longest wait for calls in progress at a graceful shutdown, after the drain pause." default:"30s" env:"AMARANTHLINE_DRAIN_TIMEOUT"`
	DrainPause   time.Duration `help:"Time from the start of a graceful shutdown until listeners close, for callers to move away." default:"2s" env:"AMARANTHLINE_DRAIN_PAUSE"`
}

func (cmd *nodeCommand) settings() node.Settings {
	return node.Settings{
		Host: cmd.Host, Domain: cmd.Domain, Service: cmd.Service, Upstream: cmd.Upstream, Connections: cmd.Connections,
		Ingress: cmd.Ingress, Nested: cmd.Nested, Peer: cmd.Peer, Admin: cmd.Admin, ConfigURLs: cmd.Platform, Seeds: cmd.Seed,
		TLSCert: cmd.TLSCert, TLSCA: cmd.TLSCA, MemoryMB: cmd.MemoryMB, MaxFiles: cmd.MaxFiles, DrainTimeout: cmd.DrainTimeout, DrainPause: cmd.DrainPause,
		// The private key comes from the environment, because a process list shows flags.
		TLSKey: os.Getenv("AMARANTHLINE_TLS_KEY"),
	}
}

// Run runs the node until SIGTERM or SIGINT.
func (cmd *nodeCommand) Run(ctx context.Context, log *logrus.Logger) error {
	nod, err := node.New(cmd.settings(), log)
	if err != nil {
		return err
	}
	return nod.Run(ctx)
}

type checkCommand struct {
	File  string `arg:"" help:"File with declarations or, with --hosts, a host list; - reads standard input."`
	Hosts bool   `help:"The file is a host list."`
}

// Run checks one file; the error it returns lists the faults.
func (cmd *checkCommand) Run(out io.Writer) error {
	data, err := cmd.read()
	if err != nil {
		return err
	}
	if cmd.Hosts {
		_, err = decl.DecodeHosts(data)
	} else {
		_, err = decl.Decode(data)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: no faults\n", cmd.File)
	return err
}

func (cmd *checkCommand) read() ([]byte, error) {
	if cmd.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(cmd.File)
}

type statusCommand struct {
	Admin string `help:"Admin address of the node." default:"127.0.0.1:7003" env:"AMARANTHLINE_ADMIN"`
}

// Run prints the status of a running node.
func (cmd *statusCommand) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.Admin+"/status", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "no node answers at %s; check --admin", cmd.Admin)
	}
	defer res.Body.Close()
	_, err = io.Copy(out, res.Body)
	return err
}

type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run(out io.Writer) error {
	line := "amaranthline " + version
	if info, ok := debug.ReadBuildInfo(); ok {
		line += " " + info.GoVersion
	}
	_, err := fmt.Fprintln(out, line)
	return err
}

type demoCommand struct {
	Seconds int `help:"Length of each of the three phases." default:"8"`
}

// Run runs the demonstration.
func (cmd *demoCommand) Run(ctx context.Context, out io.Writer) error {
	return demo.Run(ctx, out, time.Duration(cmd.Seconds)*time.Second)
}

// newParser returns the parser of the command line. The JSON file that AMARANTHLINE_CONFIG names, if set, gives values to
// flags that neither the command line nor the environment sets.
func newParser(cmds *commands) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("amaranthline"), kong.Description("Overload control for call graphs of services."), kong.UsageOnError(),
	}
	path := os.Getenv(settingsFileVariable)
	if path != "" {
		options = append(options, kong.Configuration(kong.JSON, path))
	}
	parser, err := kong.New(cmds, options...)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w; correct it and start again", path, err)
	}
	return parser, nil
}

func main() {
	var cmds commands
	parser, err := newParser(&cmds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	kctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		_ = parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	log := newLogger(&cmds)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	kctx.BindTo(ctx, (*context.Context)(nil))
	kctx.BindTo(os.Stdout, (*io.Writer)(nil))
	err = kctx.Run(log, &cmds)
	stop()
	os.Exit(exitCode(err))
}

func newLogger(cmds *commands) *logrus.Logger {
	log := logrus.New()
	level, err := logrus.ParseLevel(cmds.LogLevel)
	if err == nil {
		log.SetLevel(level)
	}
	if cmds.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}

// exitCode prints an error and returns the exit code of the process; a wrong setting counts as wrong usage.
func exitCode(err error) int {
	if err == nil || errors.Is(err, context.Canceled) {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var settingErr *base.SettingError
	if errors.As(err, &settingErr) {
		return exitUsage
	}
	return exitFailure
}
