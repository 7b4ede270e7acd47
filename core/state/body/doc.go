// Package body keeps the start of request and answer bodies in memory, so that a small request can be sent again and a
// small answer that is cut short becomes an error before the caller has got its head.
package body
