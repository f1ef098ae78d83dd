package pipeliner

import (
	"crypto/tls"
	"errors"
	"io"
	"strings"
)

// plainAnswer is the answer to a request without TLS on a connection with TLS.
const plainAnswer = "HTTP/1.0 400 Bad Request\r\nConnection: close\r\n\r\nThis listener uses TLS.\n"

// answerPlain answers a caller that sends a request without TLS on a connection with TLS, if
// an error of a read says so.
func answerPlain(err error) {
	var noTLS tls.RecordHeaderError
	if errors.As(err, &noTLS) && noTLS.Conn != nil && strings.Contains(plainMethods, string(noTLS.RecordHeader[:3])) {
		// An error means that the connection has failed.
		_, _ = io.WriteString(noTLS.Conn, plainAnswer)
	}
}

// plainMethods holds the starts of requests that answerPlain recognizes.
const plainMethods = "GET HEA POS PUT DEL OPT PAT"
