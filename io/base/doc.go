// Package base holds code common to the node packages: Prometheus metrics, HTTP listeners, and checks of settings.
package base
