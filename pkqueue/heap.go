package pkqueue

import "cmp"

// member is an element of heaps that records its position in each of them.
type member[E any] interface {
	// position returns where the element keeps its index in the heap of the given slot.
	position(slot int) *int
	// precedes orders elements of equal keys in the heap of the given slot.
	precedes(other E, slot int) bool
}

// heap is a binary heap with the smallest key first. Keys are stored beside the elements because
// comparisons through pointers dominate the cost with 10,000 elements.
type heap[K cmp.Ordered, E member[E]] struct {
	slot  int
	nodes []node[K, E]
}

type node[K cmp.Ordered, E member[E]] struct {
	key  K
	elem E
}

func (h *heap[K, E]) len() int { return len(h.nodes) }

// first returns the first element and its key; the heap must not be empty.
func (h *heap[K, E]) first() (K, E) { return h.nodes[0].key, h.nodes[0].elem }

func (h *heap[K, E]) insert(key K, e E) {
	h.nodes = append(h.nodes, node[K, E]{key: key, elem: e})
	h.up(len(h.nodes) - 1)
}

// update sets the key of an element that is in the heap and restores the order, also if the key is
// the same and what precedes compares has changed.
func (h *heap[K, E]) update(key K, e E) {
	i := *e.position(h.slot)
	h.nodes[i].key = key
	h.down(h.up(i))
}

func (h *heap[K, E]) remove(e E) {
	i, last := *e.position(h.slot), len(h.nodes)-1
	moved := h.nodes[last]
	h.nodes[last] = node[K, E]{}
	h.nodes = h.nodes[:last]
	if i == last {
		return
	}
	h.nodes[i] = moved
	h.down(h.up(i))
}

// rebuild replaces the keys of all elements.
func (h *heap[K, E]) rebuild(key func(E) K) {
	for i := range h.nodes {
		h.nodes[i].key = key(h.nodes[i].elem)
	}
	for i := len(h.nodes) - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *heap[K, E]) before(a, b *node[K, E]) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.elem.precedes(b.elem, h.slot)
}

func (h *heap[K, E]) up(i int) int {
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

func (h *heap[K, E]) down(i int) {
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

func (h *heap[K, E]) set(i int, n node[K, E]) {
	h.nodes[i] = n
	*n.elem.position(h.slot) = i
}
