// Package side assembles the sidecar node: it runs beside an upstream, takes requests of callers on the same hosts, and
// reaches the users' platform through an Adapter. It connects proxy with mesh, gossip, front and back, and adds the
// operators' HTTP ports, metrics and logs.
package side
