// Package split divides the requests of an entry among its services by weight.
package split
