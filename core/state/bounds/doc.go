// Package bounds holds the limits for callers that are in force: how long heads and bodies may be, and how long a caller may
// take to send a head or leave a connection idle. The configuration changes them while callers are connected.
//
// It answers the load of callers that keep to the limit that they last heard of: while a change spreads, the wider limit of
// those before and after it holds.
package bounds
