// Package limit adapts the number of calls that may be in flight at one upstream at the same time.
package limit
