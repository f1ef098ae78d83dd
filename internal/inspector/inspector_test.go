package inspector_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hemlockport/hemlockport/internal/inspector"
	"github.com/hemlockport/hemlockport/internal/standin/malformer"
)

// fetch reads a whole answer by net/http over connections of a dial function.
func fetch(t *testing.T, address string, dial inspector.DialFunc) (int, string, error) {
	t.Helper()
	transport := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestWhoRefuses checks what the table says of each answer: whether it is malformed, and whether
// net/http alone refuses it. It guards against a rule that is too strict, and against a version
// of net/http that refuses less.
func TestWhoRefuses(t *testing.T) {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	for _, answer := range malformer.Answers() {
		t.Run(answer.Name, func(t *testing.T) {
			address := malformer.Start(t, answer)
			_, _, err := fetch(t, address, dialer.DialContext)
			if refuses := answer.Fate == malformer.LibraryRefuses; (err != nil) != refuses {
				t.Errorf("net/http: got error %v, want one: %t", err, refuses)
			}
			status, body, err := fetch(t, address, inspector.NewDialer(dialer.DialContext).DialContext)
			switch answer.Fate {
			case malformer.Passes:
				if err != nil || status != answer.WantStatus() || body != answer.WantBody() {
					t.Errorf("got status %d, body %q and error %v, want %d and %q", status, body, err, answer.WantStatus(), answer.WantBody())
				}
			case malformer.ForwarderRefuses:
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
			default:
				if err == nil {
					t.Errorf("got status %d and body %q, want an error", status, body)
				}
			}
		})
	}
}

// bytesConn is a connection that has received bytes.
type bytesConn struct {
	net.Conn
	received io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) {
	return c.received.Read(p)
}

func (c *bytesConn) Close() error {
	return nil
}

// read reads what a connection passes on of the bytes that a reader yields.
func read(received io.Reader) ([]byte, error) {
	return io.ReadAll(inspector.NewConn(&bytesConn{
		received: received,
	}))
}

// TestBytesArriveInAnyPortions checks that the same bytes are passed on whether an answer arrives at once
// or byte by byte, up to the line that is malformed.
func TestBytesArriveInAnyPortions(t *testing.T) {
	for _, answer := range malformer.Answers() {
		t.Run(answer.Name, func(t *testing.T) {
			text := answer.Bytes("X-Own: 1\r\n")
			atOnce, err := read(bytes.NewBufferString(text))
			slowly, slowErr := read(iotest.OneByteReader(bytes.NewBufferString(text)))
			if (err == nil) != (slowErr == nil) || err != nil && err.Error() != slowErr.Error() {
				t.Errorf("got error %v, and byte by byte %v", err, slowErr)
			}
			if !bytes.HasPrefix(slowly, atOnce) || bytes.Contains(slowly[len(atOnce):], []byte("\n")) {
				t.Errorf("got %q, and byte by byte %q, want the same whole lines", atOnce, slowly)
			}
			if err == nil && string(atOnce) != text {
				t.Errorf("got %q, want %q", atOnce, text)
			}
		})
	}
}

// TestErrorsNameWhatIsWrong checks the part, the rule and the text of errors. The text goes into logs,
// so it must be short, without control bytes, and without the values of fields.
func TestErrorsNameWhatIsWrong(t *testing.T) {
	long := string(bytes.Repeat([]byte("quilt"), 100))
	cases := []struct {
		name string
		text string
		part inspector.Part
		rule error
		want string
	}{
		{
			name: "a status",
			text: "HTTP/1.1 000 OK\r\n\r\n",
			part: inspector.StatusLine,
			rule: inspector.ErrStatus,
			want: `malformed answer: the status is not a number from 100 to 599 between blanks: "HTTP/1.1 000 OK"`,
		},
		{
			name: "a control byte in a name",
			text: "HTTP/1.1 200 OK\r\nX\x00\xe9Quilt: secret\r\n\r\n",
			part: inspector.Field,
			rule: inspector.ErrName,
			want: `malformed answer: the name of a field is not a token: "X\x00\xe9Quilt"`,
		},
		{
			name: "a control byte in a value",
			text: "HTTP/1.1 200 OK\r\nX-Quilt: secret\x00\r\n\r\n",
			part: inspector.Field,
			rule: inspector.ErrValue,
			want: `malformed answer: the value of a field has a control byte: "X-Quilt"`,
		},
		{
			name: "a length",
			text: "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
			part: inspector.Framing,
			rule: inspector.ErrLength,
			want: `malformed answer: the length of the body is not one number: "Content-Length: +5"`,
		},
		{
			name: "a chunk",
			text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5 \r\n",
			part: inspector.Chunk,
			rule: inspector.ErrChunkSize,
			want: `malformed answer: a chunk begins without a valid size and extensions: "5 "`,
		},
		{
			name: "a trailer",
			text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n",
			part: inspector.Trailer,
			rule: inspector.ErrTrailerField,
			want: `malformed answer: a field that frames or describes the content comes behind it: "Content-Length"`,
		},
		{
			name: "a long line",
			text: long + "\r\n",
			part: inspector.StatusLine,
			rule: inspector.ErrVersion,
			want: `malformed answer: the version is not HTTP/1: "` + long[:48] + `"`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(bytes.NewBufferString(c.text))
			var malformed *inspector.MalformedError
			if !errors.As(err, &malformed) || malformed.Part != c.part || !errors.Is(err, c.rule) || err.Error() != c.want {
				t.Errorf("got error %v, want part %s and %s", err, c.part, c.want)
			}
		})
	}
}

// TestAnswersFollowEachOther checks that the end of each answer on a connection is found, so that the next one is
// checked from its beginning.
func TestAnswersFollowEachOther(t *testing.T) {
	const malformed = "HTTP/1.1 000 OK\r\n"
	cases := []struct {
		name    string
		method  string
		answers string
	}{
		{
			name:    "a length",
			method:  http.MethodGet,
			answers: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquilt",
		},
		{
			name:    "chunks",
			method:  http.MethodGet,
			answers: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nquilt\r\n0\r\nX-Sum: 1\r\n\r\n",
		},
		{
			name:    "an answer to HEAD",
			method:  http.MethodHead,
			answers: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		},
		{
			name:    "an answer to HEAD in chunks",
			method:  http.MethodHead,
			answers: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		},
		{
			name:    "304 with a length",
			method:  http.MethodGet,
			answers: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
		},
		{
			name:    "204 behind 103",
			method:  http.MethodGet,
			answers: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		},
		{
			name:    "an empty body",
			method:  http.MethodGet,
			answers: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := inspector.NewConn(&bytesConn{
				received: bytes.NewBufferString(c.answers + c.answers + malformed),
			})
			conn.Expect(c.method)
			got, err := io.ReadAll(conn)
			if string(got) != c.answers+c.answers || !errors.Is(err, inspector.ErrStatus) || conn.Malformed() == nil {
				t.Errorf("got %q and error %v, want both answers and %v", got, err, inspector.ErrStatus)
			}
		})
	}
}

// TestAnswersInsideTLSAreChecked checks that an equipped transport looks at the answers inside TLS, not at its
// records, and trusts the same servers as before.
func TestAnswersInsideTLSAreChecked(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		answer := malformer.Answer{}
		if request.URL.Path == "/malformed" {
			answer = answer.WithStatusLine("HTTP/1.1 000 OK")
		}
		_, _ = io.WriteString(conn, answer.Bytes(""))
	}))
	t.Cleanup(server.Close)
	trusting := server.Client().Transport.(*http.Transport).TLSClientConfig
	cases := []struct {
		name   string
		config *tls.Config
		path   string
		// isWanted reports whether the error is the one that the request has to end with.
		isWanted func(err error) bool
	}{
		{
			name:     "a sound answer",
			config:   trusting,
			path:     "/sound",
			isWanted: func(err error) bool { return err == nil },
		},
		{
			name:     "a malformed answer",
			config:   trusting,
			path:     "/malformed",
			isWanted: func(err error) bool { return errors.Is(err, inspector.ErrStatus) },
		},
		{
			name: "a server that is not trusted",
			path: "/sound",
			isWanted: func(err error) bool {
				var untrusted x509.UnknownAuthorityError
				return errors.As(err, &untrusted)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			transport := inspector.NewDialer((&net.Dialer{}).DialContext).Equip(&http.Transport{
				TLSClientConfig: c.config,
			})
			defer transport.CloseIdleConnections()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			if !c.isWanted(err) {
				t.Errorf("got error %v, want another end", err)
			}
		})
	}
}

// TestUpgradesAreAllowedWhereAsked checks that another protocol follows 101 only for a client that asks for one.
func TestUpgradesAreAllowedWhereAsked(t *testing.T) {
	const answer = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: quilt\r\n\r\nframes\x00\r\n"
	dial := func(received string) inspector.Dialer {
		return inspector.NewDialer(func(context.Context, string, string) (net.Conn, error) {
			return &bytesConn{
				received: bytes.NewBufferString(received),
			}, nil
		})
	}
	cases := []struct {
		name   string
		dialer inspector.Dialer
		want   string
		rule   error
	}{
		{
			name:   "asked",
			dialer: dial(answer).WithUpgrades(),
			want:   answer,
		},
		{
			name:   "not asked",
			dialer: dial(answer),
			rule:   inspector.ErrUpgrade,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := c.dialer.DialContext(t.Context(), "tcp", "upstream")
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if string(got) != c.want || !errors.Is(err, c.rule) {
				t.Errorf("got %q and error %v, want %q and %v", got, err, c.want, c.rule)
			}
		})
	}
}

// FuzzChecker checks that bytes are judged the same in any two portions, and that nothing is accepted which
// net/http reads in another way.
func FuzzChecker(f *testing.F) {
	for _, answer := range malformer.Answers() {
		f.Add([]byte(answer.Bytes("")), 20)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		var whole, parted inspector.Checker
		accepted, malformed := whole.Check(data, false)
		cut = min(max(cut, 0), len(data))
		first, firstMalformed := parted.Check(data[:cut], false)
		if firstMalformed == nil {
			second, secondMalformed := parted.Check(data[cut:], false)
			first, firstMalformed = first+second, secondMalformed
		}
		if (malformed == nil) != (firstMalformed == nil) || malformed == nil && accepted != first {
			t.Fatalf("got %d bytes and %v, in portions %d and %v", accepted, malformed, first, firstMalformed)
		}
		checkReading(t, data[:accepted])
	})
}

// checkReading checks that net/http finds a status of a final answer in what was accepted, and no name or value
// that a caller could read in another way.
func checkReading(t *testing.T, accepted []byte) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(accepted)), nil)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode < 100 || response.StatusCode > 599 || response.ProtoMajor != 1 {
		t.Fatalf("accepted status %d of %s", response.StatusCode, response.Proto)
	}
	var header bytes.Buffer
	if err = response.Header.Write(&header); err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, values := range response.Header {
		lines += len(values)
	}
	if got := bytes.Count(header.Bytes(), []byte("\r\n")); got != lines {
		t.Fatalf("accepted %d fields, of which %d can be passed on", lines, got)
	}
}

// BenchmarkChecker checks an answer as upstreams send it, which allocates nothing.
func BenchmarkChecker(b *testing.B) {
	answer := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:04:28 GMT\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Request-Id: 9c41d07be2a35f68\r\nX-Load: 3,7,4,250\r\nContent-Length: 26\r\n\r\n" + malformer.Body)
	var checker inspector.Checker
	b.ReportAllocs()
	for b.Loop() {
		if accepted, malformed := checker.Check(answer, false); accepted != len(answer) || malformed != nil {
			b.Fatal(accepted, malformed)
		}
	}
}
