package basilqueue

import "math/rand/v2"

// orderTree is a treap that knows the rank of each value; no two values may compare as equal.
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

func (n *treeNode[T]) update() *treeNode[T] {
	n.size = n.left.length() + n.right.length() + 1
	return n
}

func (t *orderTree[T]) len() int { return t.root.length() }

// first returns the first value of a tree that is not empty.
func (t *orderTree[T]) first() T {
	n := t.root
	for n.left != nil {
		n = n.left
	}
	return n.value
}

// last returns the last value of a tree that is not empty.
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

// remove takes out a value that is in the tree.
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
	return n.update()
}

// rank returns how many values come before v, which need not be in the tree.
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

// each calls f for all values in order; f must not change the tree.
func (t *orderTree[T]) each(f func(v T)) { t.root.each(f) }

func (n *treeNode[T]) each(f func(v T)) {
	if n == nil {
		return
	}
	n.left.each(f)
	f(n.value)
	n.right.each(f)
}

// split parts the values before v from the others.
func (t *orderTree[T]) split(n *treeNode[T], v T) (l, r *treeNode[T]) {
	if n == nil {
		return nil, nil
	}
	if t.before(n.value, v) {
		n.right, r = t.split(n.right, v)
		return n.update(), r
	}
	l, n.left = t.split(n.left, v)
	return l, n.update()
}

func merge[T any](l, r *treeNode[T]) *treeNode[T] {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.priority > r.priority:
		l.right = merge(l.right, r)
		return l.update()
	}
	r.left = merge(l, r.left)
	return r.update()
}
