// Package handle is the path of a request: from the entry node over attempts on serving nodes to the upstream and back.
package handle
