package pkbudget

// Bytes is a number of bytes.
type Bytes int64

const (
	// ConnectionBytes is what a connection without a request holds.
	ConnectionBytes Bytes = 8 << 10
	// ReceiveBytes is what a connection may have received that is not read yet, in the memory of the system.
	ReceiveBytes Bytes = 32 << 10
	// RequestBytes is what a request holds beside its header, body and answer.
	RequestBytes Bytes = 16 << 10
	// SmallBytes is the size up to which a request may use the reserve.
	SmallBytes Bytes = 128 << 10
	// callerShare is the fraction of the memory of a process that its callers may hold.
	callerShare = 0.625
	// maxCallerShare is the same if the largest request needs more.
	maxCallerShare = 0.875
	// connectionShare is the fraction of the callers' memory that connections may hold.
	connectionShare = 1.0 / 3
	// receiveShare is how much connections may have received and not read, with programBytes, as a fraction of the memory
	// of the process: both count towards the memory of the machine only.
	receiveShare = 0.5
	// programBytes is what the program takes outside of the memory of the process.
	programBytes Bytes = 10 << 20
	// pendingShare is how much the connections that wait to be accepted may have received, as a fraction of the memory of the
	// process. There are maxPending at most, each with minPendingBytes to ReceiveBytes.
	pendingShare          = 0.15
	maxPending            = 4096
	minPendingBytes Bytes = 2 << 10
	// reserveShare is the fraction of the memory of requests that only small ones may use.
	reserveShare = 0.25
	// descriptorShare is the fraction of the descriptors of a process that its callers may hold.
	descriptorShare = 0.75
)

// Limits bound what callers hold. Zero means no bound.
type Limits struct {
	Connections int
	// Descriptors bounds connections and admitted requests together: each of these has a connection to its target.
	Descriptors int
	// Pending bounds the connections that wait to be accepted, and PendingBytes what each of them may have received.
	Pending      int
	PendingBytes Bytes
	// Requests bounds the bytes of all requests, Large those of requests over SmallBytes.
	Requests, Large Bytes
}

// Machine is what a process may use.
type Machine struct {
	// Memory is the memory limit of the process, and Descriptors that of its descriptors; zero if there is none.
	Memory      Bytes
	Descriptors int
	// LargestRequest is what a request of the largest legal size holds.
	LargestRequest Bytes
}

// pending returns how many connections may wait to be accepted, and how many bytes each of them may have received. Scarce
// memory lowers the bytes first: beyond the number, the packet that opens a connection is dropped, and sent again after
// a second.
func (m Machine) pending() (connections int, each Bytes) {
	all := Bytes(pendingShare * float64(m.Memory))
	each = min(max(all/maxPending, minPendingBytes), ReceiveBytes)
	return min(max(int(all/each), 1), maxPending), each
}

// Limits returns the limits for a machine, and whether a request of the largest legal size fits into them.
func (m Machine) Limits() (limits Limits, fits bool) {
	l := Limits{Descriptors: int(descriptorShare * float64(m.Descriptors))}
	l.Connections = l.Descriptors
	if m.Memory <= 0 {
		return l, true
	}
	callers := Bytes(callerShare * float64(m.Memory))
	received := Bytes(receiveShare*float64(m.Memory)) - programBytes
	byMemory := max(int(min(Bytes(connectionShare*float64(callers))/ConnectionBytes, received/ReceiveBytes)), 1)
	l.Pending, l.PendingBytes = m.pending()
	if l.Connections == 0 || byMemory < l.Connections {
		l.Connections = byMemory
	}
	connections := Bytes(l.Connections) * ConnectionBytes
	l.Requests = callers - connections
	l.Large = Bytes((1 - reserveShare) * float64(l.Requests))
	if reserve := l.Requests - l.Large; l.Large < m.LargestRequest {
		most := Bytes(maxCallerShare*float64(m.Memory)) - connections
		l.Large = min(m.LargestRequest, most-reserve)
		l.Requests = l.Large + reserve
	}
	return l, l.Large >= m.LargestRequest
}
