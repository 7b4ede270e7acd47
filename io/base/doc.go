// Package base holds what the node packages share: metrics of the request path, HTTP listeners, and checks of settings.
package base
