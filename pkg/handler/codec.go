package handler

// Codec encodes values of one type as bytes and decodes them. Commands and queries
// never see an encoding: a front end decodes the message, calls a handler and encodes
// the answer.
type Codec[T any] interface {
	// Encode returns the encoded value. Equal values have equal encodings.
	Encode(value T) ([]byte, error)
	// Decode decodes exactly one value, which takes up all of data.
	Decode(data []byte) (T, error)
}
