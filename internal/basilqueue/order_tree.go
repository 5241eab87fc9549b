package basilqueue

import "math/rand/v2"

// orderTree is an order statistic tree, implemented as a treap; no two values may compare as equal.
type orderTree[T any] struct {
	before func(a, b T) bool
	root   *treeNode[T]
}

type treeNode[T any] struct {
	value       T
	left, right *treeNode[T]
	priority    uint32
	size        int
}

func (n *treeNode[T]) length() int {
	if n == nil {
		return 0
	}
	return n.size
}

func (n *treeNode[T]) updateSize() *treeNode[T] {
	n.size = n.left.length() + n.right.length() + 1
	return n
}

func (t *orderTree[T]) len() int { return t.root.length() }

// first returns the first value; the tree must not be empty.
func (t *orderTree[T]) first() T {
	n := t.root
	for n.left != nil {
		n = n.left
	}
	return n.value
}

// last returns the last value; the tree must not be empty.
func (t *orderTree[T]) last() T {
	n := t.root
	for n.right != nil {
		n = n.right
	}
	return n.value
}

func (t *orderTree[T]) insert(v T) {
	l, r := t.split(t.root, v)
	n := &treeNode[T]{value: v, priority: rand.Uint32(), size: 1}
	t.root = merge(merge(l, n), r)
}

// remove removes v, which must be in the tree.
func (t *orderTree[T]) remove(v T) { t.root = t.removeFrom(t.root, v) }

func (t *orderTree[T]) removeFrom(n *treeNode[T], v T) *treeNode[T] {
	switch {
	case n == nil:
		return nil
	case t.before(v, n.value):
		n.left = t.removeFrom(n.left, v)
	case t.before(n.value, v):
		n.right = t.removeFrom(n.right, v)
	default:
		return merge(n.left, n.right)
	}
	return n.updateSize()
}

// rank returns the number of values before v, which need not be in the tree.
func (t *orderTree[T]) rank(v T) int {
	rank := 0
	for n := t.root; n != nil; {
		if t.before(n.value, v) {
			rank += n.left.length() + 1
			n = n.right
			continue
		}
		n = n.left
	}
	return rank
}

// each calls f for each value in order; f must not modify the tree.
func (t *orderTree[T]) each(f func(v T)) { t.root.each(f) }

func (n *treeNode[T]) each(f func(v T)) {
	if n == nil {
		return
	}
	n.left.each(f)
	f(n.value)
	n.right.each(f)
}

// split splits the subtree into the values before v and the others.
func (t *orderTree[T]) split(n *treeNode[T], v T) (l, r *treeNode[T]) {
	if n == nil {
		return nil, nil
	}
	if t.before(n.value, v) {
		n.right, r = t.split(n.right, v)
		return n.updateSize(), r
	}
	l, n.left = t.split(n.left, v)
	return l, n.updateSize()
}

func merge[T any](l, r *treeNode[T]) *treeNode[T] {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.priority > r.priority:
		l.right = merge(l.right, r)
		return l.updateSize()
	}
	r.left = merge(l, r.left)
	return r.updateSize()
}
