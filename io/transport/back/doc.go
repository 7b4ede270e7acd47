// Package back sends calls over HTTP to the upstream of this host; no call is sent more than once.
package back
