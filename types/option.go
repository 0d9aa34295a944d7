package types

// Option is a value that may be absent.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns a present value.
func Some[T any](value T) Option[T] { return Option[T]{value: value, ok: true} }

// None returns an absent value.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Or returns the value, or fallback if it is absent.
func (o Option[T]) Or(fallback T) T {
	if o.ok {
		return o.value
	}
	return fallback
}

// IsSome reports whether the value is present.
func (o Option[T]) IsSome() bool { return o.ok }
