// Package split divides the requests of an ingress route among its services by weight.
package split
