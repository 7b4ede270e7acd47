// Package retry decides which failed calls are sent again. It holds the retry budget of a root request, the ratio of
// retries to calls at a node, the detection of nested calls that an application retries, and the backoff.
//
// Only the hop next to a failure retries. The request path distinguishes two cases by type: an error is a refusal or
// failure of the called service's node (or of the connection to it) and may be retried. An answer comes from the called
// upstream's application and is never retried, even if its status is 503 because the application passes on the refusal
// of a deeper hop: that hop has already decided on the retry.
package retry
