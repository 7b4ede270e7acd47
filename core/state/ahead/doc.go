// Package ahead decides how many of a connection's requests a node works on before those sent ahead of them are answered.
//
// It is designed for this load: most callers send one request at a time, and a few send rows of idempotent requests without
// waiting for answers, while a service is overloaded. Without bounds, a caller with a row has as many requests in the queues
// as its row is long and takes the room of the others, whose requests are refused. While a route's requests are refused for
// overload, the limit of requests in work for each connection falls, down to the one that every caller has; it rises by
// steps afterwards. The number of requests that the node has begun ahead of their turn is bounded at all times.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package ahead
