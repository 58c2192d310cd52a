// Package linkedlist provides intrusive doubly linked lists, in which the links are part of the
// elements. Unlike with container/list, adding an element does not allocate.
package linkedlist

// Link links an element, of which it is a field, into a list. It can be in one list at a time.
// Value refers to the element and must be set once, before the Link is used.
type Link[T any] struct {
	Value      T
	next, prev *Link[T]
}

// List is a list of links. The zero value is an empty list.
type List[T any] struct {
	root Link[T]
	len  int
}

// Len returns the number of links.
func (l *List[T]) Len() int { return l.len }

// PushBack appends k, which must not be in a list.
func (l *List[T]) PushBack(k *Link[T]) {
	if l.root.next == nil {
		l.root.next, l.root.prev = &l.root, &l.root
	}
	last := l.root.prev
	k.prev, k.next = last, &l.root
	last.next, l.root.prev = k, k
	l.len++
}

// Remove removes k, which must be in this list.
func (l *List[T]) Remove(k *Link[T]) {
	k.prev.next, k.next.prev = k.next, k.prev
	k.next, k.prev = nil, nil
	l.len--
}

// Front returns the first link, or nil if the list is empty.
func (l *List[T]) Front() *Link[T] { return l.Next(&l.root) }

// Next returns the link after k, or nil if k is the last one.
func (l *List[T]) Next(k *Link[T]) *Link[T] {
	if k.next == nil || k.next == &l.root {
		return nil
	}
	return k.next
}
