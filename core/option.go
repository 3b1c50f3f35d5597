package core

import (
	"cmp"
	"slices"
)

// Option is a value that may be absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an Option that holds value.
func Some[T any](value T) Option[T] { return Option[T]{value: value, present: true} }

// None returns an empty Option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Set is a set of ordered values.
type Set[T cmp.Ordered] map[T]struct{}

// SetOf returns the set of the given values.
func SetOf[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds v to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes v from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return sortedKeys(s) }

// getOrCreate returns the map's value for a key, and creates a zero value if there
// is none.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	v, ok := m[key]
	if !ok {
		v = new(V)
		m[key] = v
	}
	return v
}

// sortedKeys returns a map's keys in ascending order, so that decisions do not depend on
// the iteration order of Go maps.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
