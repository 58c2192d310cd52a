// Package ring has lists whose links lie in their elements, for connections that
// change lists with each request: container/list allocates an element each time
// one is put in.
package ring

// Link is the place of one thing in lists, one at a time. Of is set once by its
// owner.
type Link[T any] struct {
	Value      T
	next, prev *Link[T]
}

// List is a list of links; the zero value is empty.
type List[T any] struct {
	root Link[T]
	len  int
}

// Len is how many links there are.
func (l *List[T]) Len() int { return l.len }

// PushBack puts k, which is in no list, at the end.
func (l *List[T]) PushBack(k *Link[T]) {
	if l.root.next == nil {
		l.root.next, l.root.prev = &l.root, &l.root
	}
	last := l.root.prev
	k.prev, k.next = last, &l.root
	last.next, l.root.prev = k, k
	l.len++
}

// Remove takes k, which is in this list, out of it.
func (l *List[T]) Remove(k *Link[T]) {
	k.prev.next, k.next.prev = k.next, k.prev
	k.next, k.prev = nil, nil
	l.len--
}

// Front is the first link, or nil.
func (l *List[T]) Front() *Link[T] { return l.Next(&l.root) }

// Next is the link after k, or nil.
func (l *List[T]) Next(k *Link[T]) *Link[T] {
	if k.next == nil || k.next == &l.root {
		return nil
	}
	return k.next
}
