package memory

const (
	mebibyte = 1 << 20
	// defaultBytes and defaultFiles stand for settings that give no bound. They are far above what ordinary callers need.
	defaultBytes = 1 << 30
	defaultFiles = 16384

	// programBytes is what the process itself occupies: the program's pages and its state without callers. Of less than twice
	// as much, half is divided.
	programBytes = 24 * mebibyte

	// connectionBytes is what a connection costs before it sends anything: two goroutine stacks and the buffers of the
	// framing and of net/http.
	connectionBytes = 32 << 10
	// FreeBytes is what a request may hold without drawing on the shared budget. It is part of the cost of its connection.
	// The head of an ordinary request costs a few KiB.
	FreeBytes = 16 << 10

	// connectionDivisor, requestDivisor and headDivisor are the parts of the other memory for connections, for what requests hold
	// beyond FreeBytes, and for unfinished heads beyond FreeBytes: a quarter, a sixth and a sixteenth. The rest is for
	// the calls in work and for the garbage collector.
	connectionDivisor = 4
	requestDivisor    = 6
	headDivisor       = 16

	minConnections  = 64
	minRequestBytes = 4 * mebibyte // one head of the largest legal size with the shortest lines costs less than 2 MiB

	reservedFiles   = 200 // for files, the store, operators and listeners
	peerFilesFactor = 8   // an eighth of the descriptors is for connections between nodes

	minHandshakes, maxHandshakes = 16, 256 // connections of peers that have not said who they are

	lineBytes      = 320 // of a header line as net/http and the copies on the way to the upstream hold it, without its text
	headTextCopies = 3   // of the text of a head: the framing's buffer, net/http's strings and a packed copy

	// limitNumerator and limitDenominator give the soft limit of the heap, above which the garbage collector runs more
	// often. The rest is for unread bytes in the kernel, which may count as memory of the process.
	limitNumerator, limitDenominator = 17, 20
)

// Division is how much of a process's memory and descriptors the callers may use.
type Division struct {
	connections int
	handshakes  int
	request     int
	heads       int
	heapLimit   int64
}

// Divide divides a number of MiB and of descriptors; 0 means that the setting gives no bound. Descriptors are kept back for
// the given connections to the upstream, for peers and for the process itself.
func Divide(mebibytes, files, upstreamConnections int) Division {
	total := mebibytes * mebibyte
	total = max(total-programBytes, total/2)
	div := Division{heapLimit: int64(total) * limitNumerator / limitDenominator}
	if total <= 0 {
		total, div.heapLimit = defaultBytes, 0
	}
	if files <= 0 {
		files = defaultFiles
	}
	// At least a quarter of the descriptors stays for callers where the upstream would take all of them.
	free := max(files-reservedFiles-files/peerFilesFactor-upstreamConnections, files/4)
	div.connections = min(max(total/connectionDivisor/(connectionBytes+FreeBytes), minConnections), free)
	div.handshakes = min(max(files/peerFilesFactor, minHandshakes), maxHandshakes)
	div.request = max(total/requestDivisor, minRequestBytes)
	div.heads = max(total/headDivisor, mebibyte)
	return div
}

// Connections returns how many connections of callers may be open at once.
func (div Division) Connections() int { return div.connections }

// Handshakes returns how many connections at the port for peers may be open whose peers are not known yet.
func (div Division) Handshakes() int { return div.handshakes }

// RequestBytes returns what all requests together may hold beyond FreeBytes each.
func (div Division) RequestBytes() int { return div.request }

// HeadBytes returns what all unfinished heads together may hold beyond the smallest buffer of each.
func (div Division) HeadBytes() int { return div.heads }

// HeapLimit returns the soft limit of the heap in bytes, or 0 for none.
func (div Division) HeapLimit() int64 { return div.heapLimit }

// HeadCost returns the bytes that a head occupies while its request is served.
func HeadCost(bytes, lines int) int { return headTextCopies*bytes + lineBytes*lines }

// Charged returns the part of a cost that draws on the shared budget.
func Charged(cost int) int { return max(cost-FreeBytes, 0) }
