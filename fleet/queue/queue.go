// Package queue provides a first-in, first-out list. Items can be removed from the middle at
// constant cost.
package queue

// Item is an element of a list. An item belongs to at most one list.
type Item[T any] struct {
	// Value is the value that was pushed.
	Value      T
	list       *List[T]
	prev, next *Item[T]
}

// List is a first-in, first-out list. Its zero value is an empty list.
type List[T any] struct {
	first, last *Item[T]
	length      int
}

// Len returns the number of items.
func (l *List[T]) Len() int { return l.length }

// First returns the oldest item, or nil when the list is empty.
func (l *List[T]) First() *Item[T] { return l.first }

// Next returns the item after this one, or nil.
func (i *Item[T]) Next() *Item[T] { return i.next }

// Push appends a value and returns its item.
func (l *List[T]) Push(v T) *Item[T] {
	i := &Item[T]{Value: v, list: l, prev: l.last}
	if l.last == nil {
		l.first = i
	} else {
		l.last.next = i
	}
	l.last = i
	l.length++
	return i
}

// Remove removes an item from its list. It reports whether the item was in a list.
func (i *Item[T]) Remove() bool {
	l := i.list
	if l == nil {
		return false
	}
	if i.prev == nil {
		l.first = i.next
	} else {
		i.prev.next = i.next
	}
	if i.next == nil {
		l.last = i.prev
	} else {
		i.next.prev = i.prev
	}
	i.list, i.prev, i.next = nil, nil, nil
	l.length--
	return true
}

// Pop removes and returns the oldest value; it returns false when the list is empty.
func (l *List[T]) Pop() (T, bool) {
	i := l.first
	if i == nil {
		var zero T
		return zero, false
	}
	i.Remove()
	return i.Value, true
}
