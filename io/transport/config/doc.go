// Package config reads and watches the platform's configuration service over HTTP.
package config
