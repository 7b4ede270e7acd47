package base

import (
	"context"
	"errors"
	"net"
	"net/http"

	"amaranthline/io/transport/inlet"
)

// Server is an HTTP server with its open listener.
type Server struct {
	*http.Server
	listener net.Listener
}

// Listen opens the listener of a server; an error names the flag that gave the address. If wrap is not nil, the server gets
// the connections of the listener that it returns.
func Listen(flag, addr string, server *http.Server, wrap func(net.Listener) net.Listener) (*Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, NewSettingError(flag, "cannot listen on "+addr+": "+err.Error(), "give a free address of this host")
	}
	if wrap != nil {
		lis = wrap(lis)
	}
	return &Server{Server: server, listener: lis}, nil
}

// ListenAddr returns the address on which the server listens.
func (srv *Server) ListenAddr() net.Addr { return srv.listener.Addr() }

// Run serves until the server is closed or shut down, and then returns nil.
func (srv *Server) Run() error {
	if err := srv.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown shuts the server down gracefully. net/http closes connections between two answers, so Shutdown waits first for the
// requests that were begun ahead of their turn on a connection.
func (srv *Server) Shutdown(ctx context.Context) error {
	if lis, ok := srv.listener.(*inlet.Listener); ok {
		if err := lis.WaitBegun(ctx); err != nil {
			return err
		}
	}
	return srv.Server.Shutdown(ctx)
}

// NoStore marks answers as not to be stored by caches.
func NoStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		wri.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(wri, req)
	})
}
