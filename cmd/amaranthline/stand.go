package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"amaranthline/stand/conf"
	"amaranthline/stand/origin"

	"golang.org/x/sync/errgroup"
)

const standTimeout = 5 * time.Second

type standCommands struct {
	Conf   standConfCommand   `cmd:"" help:"Run the stand-in for the platform's configuration service."`
	Origin standOriginCommand `cmd:"" help:"Run the stand-in for an upstream."`
}

type standConfCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:8500"`
}

// Run serves until the context ends.
func (cmd *standConfCommand) Run(ctx context.Context) error {
	return serveAll(ctx, []endpoint{{addr: cmd.Listen, handler: conf.New()}})
}

type standOriginCommand struct {
	Listen      string        `help:"Address for requests." default:"127.0.0.1:8080"`
	Control     string        `help:"Address for the control handler." default:"127.0.0.1:8081"`
	Node        string        `help:"Base URL of the node's nested port." default:"http://127.0.0.1:7001"`
	Slots       int           `help:"Requests that are processed at the same time." default:"100"`
	Connections int           `help:"Limit on open connections." default:"750"`
	ServiceTime time.Duration `help:"Processing time of one request." default:"5ms"`
	Exponential bool          `help:"Draw the processing time from an exponential distribution."`
	Seed        uint64        `help:"Random seed of the distribution." default:"1"`
	Call        []string      `help:"Nested call, as METHOD /SERVICE/path." sep:"none"`
	Retries     int           `help:"Retries of a failed nested call."`
	ColdSlots   int           `help:"Slots right after the start."`
	ColdOver    time.Duration `help:"Time after the start in which --cold-slots grows to --slots."`
	Marker      string        `help:"The process exits on a request whose path or body contains this."`
	Lag         time.Duration `help:"Age of the state that the health and load endpoints show."`
}

// Run serves until the context ends.
func (cmd *standOriginCommand) Run(ctx context.Context) error {
	set := origin.Settings{
		Slots: cmd.Slots, Connections: cmd.Connections, ServiceTime: cmd.ServiceTime, Exponential: cmd.Exponential, Seed: cmd.Seed,
		NestedURL: cmd.Node, InitialWarmSlots: cmd.ColdSlots, WarmupTime: cmd.ColdOver, CrashMarker: cmd.Marker, HealthLag: cmd.Lag,
	}
	for _, call := range cmd.Call {
		set.NestedCalls = append(set.NestedCalls, origin.NestedCall{Call: call, Retries: cmd.Retries})
	}
	srv := origin.New(set)
	defer srv.Close()
	return serveAll(ctx, []endpoint{
		{addr: cmd.Listen, handler: srv.Handler(), wrap: srv.LimitListener},
		{addr: cmd.Control, handler: srv.Control()},
	})
}

// endpoint is a listen address with its handler.
type endpoint struct {
	addr    string
	handler http.Handler
	wrap    func(net.Listener) net.Listener // wraps the listener; may be nil
}

// serveAll serves all endpoints until the context ends, then shuts them down within standTimeout.
func serveAll(ctx context.Context, endpoints []endpoint) error {
	grp, ctx := errgroup.WithContext(ctx)
	for _, enp := range endpoints {
		lis, err := net.Listen("tcp", enp.addr)
		if err != nil {
			return err
		}
		if enp.wrap != nil {
			lis = enp.wrap(lis)
		}
		srv := &http.Server{Handler: enp.handler, ReadHeaderTimeout: standTimeout}
		grp.Go(func() error { return ignoreServerClosed(srv.Serve(lis)) })
		grp.Go(func() error {
			<-ctx.Done()
			stopCtx, cancel := context.WithTimeout(context.Background(), standTimeout)
			defer cancel()
			return srv.Shutdown(stopCtx)
		})
	}
	return grp.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
