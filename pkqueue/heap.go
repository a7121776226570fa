package pkqueue

// Slots of a flow in the heaps of its class.
const (
	slotNext = iota
	slotLast
	flowSlots
)

// flowHeap is a heap of flows with the smallest key first. Keys are stored beside the flows because
// comparisons through pointers are slow with thousands of accounts.
type flowHeap[T any] struct {
	slot  int
	nodes []flowNode[T]
}

type flowNode[T any] struct {
	key  float64
	flow *flow[T]
}

// first returns the first flow and its key; the heap must not be empty.
func (h *flowHeap[T]) first() (float64, *flow[T]) { return h.nodes[0].key, h.nodes[0].flow }

func (h *flowHeap[T]) insert(key float64, f *flow[T]) {
	h.nodes = append(h.nodes, flowNode[T]{key: key, flow: f})
	h.up(len(h.nodes) - 1)
}

// update sets the key of a flow that is in the heap and restores the order, also if the key is the
// same and the requests that decide between equal keys have changed.
func (h *flowHeap[T]) update(key float64, f *flow[T]) {
	i := f.pos[h.slot]
	h.nodes[i].key = key
	h.down(h.up(i))
}

func (h *flowHeap[T]) remove(f *flow[T]) {
	i, last := f.pos[h.slot], len(h.nodes)-1
	moved := h.nodes[last]
	h.nodes[last] = flowNode[T]{}
	h.nodes = h.nodes[:last]
	if i == last {
		return
	}
	h.nodes[i] = moved
	h.down(h.up(i))
}

// rebuild replaces the keys of all flows.
func (h *flowHeap[T]) rebuild(key func(*flow[T]) float64) {
	for i := range h.nodes {
		h.nodes[i].key = key(h.nodes[i].flow)
		h.nodes[i].flow.pos[h.slot] = i
	}
	for i := len(h.nodes)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *flowHeap[T]) before(a, b *flowNode[T]) bool {
	switch {
	case a.key != b.key:
		return a.key < b.key
	case h.slot == slotNext:
		return a.flow.head().before(b.flow.head())
	}
	return b.flow.tail().before(a.flow.tail())
}

func (h *flowHeap[T]) up(i int) int {
	n := h.nodes[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(&n, &h.nodes[parent]) {
			break
		}
		h.set(i, h.nodes[parent])
		i = parent
	}
	h.set(i, n)
	return i
}

func (h *flowHeap[T]) down(i int) {
	n := h.nodes[i]
	for {
		child := 2*i + 1
		if child >= len(h.nodes) {
			break
		}
		if right := child + 1; right < len(h.nodes) && h.before(&h.nodes[right], &h.nodes[child]) {
			child = right
		}
		if !h.before(&h.nodes[child], &n) {
			break
		}
		h.set(i, h.nodes[child])
		i = child
	}
	h.set(i, n)
}

func (h *flowHeap[T]) set(i int, n flowNode[T]) {
	h.nodes[i] = n
	n.flow.pos[h.slot] = i
}
