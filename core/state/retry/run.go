package retry

// fractionsOfRun are the fractions of a service's share of retries that a call may use whose run has had as many nested
// calls answered before.
var fractionsOfRun = [...]float64{0.6, 0.8, 1, 1}

// FractionOfRun returns the fraction of the share of retries that a nested call may use, by the number of nested calls of
// the same run that have been answered. It answers this load: all upstreams of a service shed half of their calls, and each
// run makes several calls to it. The share of retries is too small for all; a retry of the last call finishes a run that
// has already cost several others, while most runs whose first call is retried lose a later one.
func FractionOfRun(answered int) float64 {
	return fractionsOfRun[min(max(answered, 0), len(fractionsOfRun)-1)]
}
