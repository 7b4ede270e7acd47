package mesh

import (
	"net"

	"github.com/hashicorp/yamux"
)

// ServeSession starts the serving side of a yamux session on a connection, as the mesh does.
func ServeSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(&sessionConn{Conn: conn, raw: conn}, muxConfig())
}

// EndSession ends a session as the mesh does.
func EndSession(conn net.Conn, mux *yamux.Session) { endSession(conn, mux) }
