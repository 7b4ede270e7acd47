// Package body keeps the start of request and answer bodies, so that a small request can be sent again and a small
// answer that is cut short becomes an error before the caller has seen its head.
package body
