package shard

import "container/heap"

// heapOrder is the order of the elements of an [indexedHeap].
type heapOrder[T any] interface {
	// less reports whether a goes before b.
	less(a, b T) bool
	// moved is called with the position of an element after it has changed, and with -1 after it has left the heap.
	moved(element T, position int)
}

// indexedHeap is a binary heap whose elements know their positions. Package heap adds and removes elements.
type indexedHeap[T any, O heapOrder[T]] []T

var _ heap.Interface = (*indexedHeap[*waitingStep, byAge])(nil)

// Len implements [heap.Interface].
func (h indexedHeap[T, O]) Len() int { return len(h) }

// Less implements [heap.Interface].
func (h indexedHeap[T, O]) Less(i, k int) bool {
	var order O
	return order.less(h[i], h[k])
}

// Swap implements [heap.Interface].
func (h indexedHeap[T, O]) Swap(i, k int) {
	var order O
	h[i], h[k] = h[k], h[i]
	order.moved(h[i], i)
	order.moved(h[k], k)
}

// Push implements [heap.Interface].
func (h *indexedHeap[T, O]) Push(x any) {
	var order O
	element := x.(T)
	order.moved(element, len(*h))
	*h = append(*h, element)
}

// Pop implements [heap.Interface].
func (h *indexedHeap[T, O]) Pop() any {
	var order O
	var none T
	last := len(*h) - 1
	element := (*h)[last]
	(*h)[last] = none
	*h = (*h)[:last]
	order.moved(element, -1)
	return element
}

// byAge puts the oldest waiting step first.
type byAge struct{}

func (byAge) less(a, b *waitingStep) bool        { return a.accepted < b.accepted }
func (byAge) moved(w *waitingStep, position int) { w.position = position }

// byAlarm puts the waiting step with the next alarm first.
type byAlarm struct{}

func (byAlarm) less(a, b *waitingStep) bool        { return a.alarm < b.alarm }
func (byAlarm) moved(w *waitingStep, position int) { w.alarmPosition = position }

// byDueTime puts the occurrence that is due next first.
type byDueTime struct{}

func (byDueTime) less(a, b *opening) bool { return a.at < b.at }

func (byDueTime) moved(o *opening, position int) {
	o.position, o.job.opening = position, o
	if position < 0 {
		o.job.opening = nil
	}
}
