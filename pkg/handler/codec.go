package handler

// Codec turns values of one type into bytes and back. What decides never sees an
// encoding: a front end decodes, calls a handler and encodes its answer.
type Codec[T any] interface {
	// Encode returns the value's bytes; equal values give equal bytes.
	Encode(value T) ([]byte, error)
	// Decode reads exactly one value.
	Decode(data []byte) (T, error)
}
