// Package demo runs a small fleet on loopback through an overload and prints how many requests were answered.
package demo
