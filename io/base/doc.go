// Package base holds what all kinds of nodes share: metrics of the request path, HTTP ports, and errors of settings.
package base
