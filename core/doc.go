// Package core holds the interfaces, typed errors and data types that the other packages share.
package core
