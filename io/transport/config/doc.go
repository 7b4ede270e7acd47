// Package config reads and watches documents of the platform's configuration service over HTTP.
package config
