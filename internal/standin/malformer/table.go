package malformer

import (
	"net/http"
	"slices"
	"strings"
)

// Answers returns the whole table.
func Answers() []Answer {
	return slices.Concat(statusLines, fieldLines, connectionFields, framings, withoutBody, interims, chunks, trailers, ends)
}

// statusLines are about the first line (RFC 9112, section 4; RFC 9110, section 15).
var statusLines = []Answer{
	{
		Name: "a plain answer",
		Fate: Passes,
	},
	{
		Name:       "an empty reason",
		StatusLine: "HTTP/1.1 200 \r\n",
		Fate:       Passes,
	},
	{
		Name:       "no blank behind the status",
		StatusLine: "HTTP/1.1 200\r\n",
		Fate:       Passes,
		Why:        "a recipient may split the line at blanks, and the status can be read in one way only",
	},
	{
		Name:       "a tab and a byte above 127 in the reason",
		StatusLine: "HTTP/1.1 200 Tr\xe8s\tbon\r\n",
		Fate:       Passes,
	},
	{
		Name:       "version 1.0",
		StatusLine: "HTTP/1.0 200 OK\r\n",
		Fate:       Passes,
	},
	{
		Name:       "a later minor version",
		StatusLine: "HTTP/1.2 200 OK\r\n",
		Fate:       Passes,
		Why:        "a recipient reads it as its own minor version",
	},
	{
		Name:       "an unknown status of a known class",
		StatusLine: "HTTP/1.1 299 Mended\r\n",
		Fate:       Passes,
		Status:     299,
		Why:        "a recipient treats it as x00 of its class",
	},
	{
		Name:       "the highest status",
		StatusLine: "HTTP/1.1 599 Failed\r\n",
		Fate:       Passes,
		Status:     599,
	},
	{
		Name:       "line feeds without carriage returns in the head",
		StatusLine: "HTTP/1.1 200 OK\n",
		Fields:     "X-Quilt: 1\nContent-Length: 26\n",
		Body:       Body,
		Fate:       Passes,
		Why:        "RFC 9112, section 2.2, allows it, and the caller gets the usual line ends",
	},
	refusedStatusLine("status 000", "HTTP/1.1 000 OK", WeRefuse),
	refusedStatusLine("status 001", "HTTP/1.1 001 OK", WeRefuse),
	refusedStatusLine("status 099", "HTTP/1.1 099 OK", WeRefuse),
	refusedStatusLine("status 600", "HTTP/1.1 600 OK", WeRefuse),
	refusedStatusLine("status 999", "HTTP/1.1 999 OK", WeRefuse),
	refusedStatusLine("status +20", "HTTP/1.1 +20 OK", WeRefuse),
	refusedStatusLine("status -00", "HTTP/1.1 -00 OK", WeRefuse),
	refusedStatusLine("status -20", "HTTP/1.1 -20 OK", LibraryRefuses),
	refusedStatusLine("a status of two digits", "HTTP/1.1 20 OK", LibraryRefuses),
	refusedStatusLine("a status of four digits", "HTTP/1.1 2000 OK", LibraryRefuses),
	refusedStatusLine("a letter in the status", "HTTP/1.1 2x0 OK", LibraryRefuses),
	refusedStatusLine("no status", "HTTP/1.1 ", LibraryRefuses),
	refusedStatusLine("the version alone", "HTTP/1.1", LibraryRefuses),
	refusedStatusLine("two blanks before the status", "HTTP/1.1  200 OK", WeRefuse),
	refusedStatusLine("a tab before the status", "HTTP/1.1\t200 OK", LibraryRefuses),
	refusedStatusLine("a tab behind the status", "HTTP/1.1 200\tOK", LibraryRefuses),
	refusedStatusLine("a blank before the version", " HTTP/1.1 200 OK", LibraryRefuses),
	refusedStatusLine("a NUL in the reason", "HTTP/1.1 200 O\x00K", WeRefuse),
	refusedStatusLine("a control byte in the reason", "HTTP/1.1 200 O\x1bK", WeRefuse),
	refusedStatusLine("a DEL in the reason", "HTTP/1.1 200 O\x7fK", WeRefuse),
	refusedStatusLine("a carriage return in the reason", "HTTP/1.1 200 O\rK", WeRefuse),
	refusedStatusLine("a carriage return behind the reason", "HTTP/1.1 200 OK\r", WeRefuse),
	refusedStatusLine("version 2.0", "HTTP/2.0 200 OK", WeRefuse),
	refusedStatusLine("version 0.9", "HTTP/0.9 200 OK", WeRefuse),
	refusedStatusLine("version 3.1", "HTTP/3.1 200 OK", WeRefuse),
	refusedStatusLine("version 1.10", "HTTP/1.10 200 OK", LibraryRefuses),
	refusedStatusLine("version 1", "HTTP/1 200 OK", LibraryRefuses),
	refusedStatusLine("version 1,1", "HTTP/1,1 200 OK", LibraryRefuses),
	refusedStatusLine("a version in small letters", "http/1.1 200 OK", LibraryRefuses),
	refusedStatusLine("another protocol", "ICY 200 OK", LibraryRefuses),
	refusedStatusLine("an empty line", "", LibraryRefuses),
	refusedStatusLine("an empty line before the first one", "\r\nHTTP/1.1 200 OK", LibraryRefuses),
}

// refusedStatusLine returns an answer with a malformed first line.
func refusedStatusLine(name, line string, fate Fate) Answer {
	return Answer{
		Name:       name,
		StatusLine: line + "\r\n",
		Fate:       fate,
	}
}

// fieldLines are about the names and values of fields (RFC 9110, section 5; RFC 9112, section 5).
var fieldLines = []Answer{
	withFields("an empty value", "X-Quilt:\r\n", Passes),
	withFields("blanks and tabs around a value", "X-Quilt: \t 1 \t \r\n", Passes),
	withFields("a tab and a byte above 127 in a value", "X-Quilt: \xe9\t1\r\n", Passes),
	withFields("all characters that a name may have", "!#$%&'*+-.^_`|~09azAZ: 1\r\n", Passes),
	withFields("a field twice", "X-Quilt: 1\r\nX-Quilt: 2\r\n", Passes).because("its values make one list"),
	withFields("a blank in a name", "X Quilt: 1\r\n", WeRefuse),
	withFields("a blank behind a name", "X-Quilt : 1\r\n", WeRefuse),
	withFields("a tab behind a name", "X-Quilt\t: 1\r\n", LibraryRefuses),
	withFields("a tab in a name", "X\tQuilt: 1\r\n", LibraryRefuses),
	withFields("no name", ": 1\r\n", LibraryRefuses),
	withFields("no colon", "X-Quilt\r\n", LibraryRefuses),
	withFields("a folded line", "X-Quilt: 1\r\n 2\r\n", WeRefuse),
	withFields("a line folded with a tab", "X-Quilt: 1\r\n\t2\r\n", WeRefuse),
	withFields("a line of blanks", "X-Quilt: 1\r\n  \r\n", WeRefuse),
	withFields("a blank before the first name", " X-Quilt: 1\r\n", LibraryRefuses),
	withFields("a NUL in a name", "X\x00Quilt: 1\r\n", LibraryRefuses),
	withFields("a control byte in a name", "X\x01Quilt: 1\r\n", LibraryRefuses),
	withFields("a DEL in a name", "X\x7fQuilt: 1\r\n", LibraryRefuses),
	withFields("a carriage return in a name", "X\rQuilt: 1\r\n", LibraryRefuses),
	withFields("a byte above 127 in a name", "X\xe9Quilt: 1\r\n", LibraryRefuses),
	withFields("a parenthesis in a name", "X(Quilt: 1\r\n", LibraryRefuses),
	withFields("a slash in a name", "X/Quilt: 1\r\n", LibraryRefuses),
	withFields("a quote in a name", "X\"Quilt: 1\r\n", LibraryRefuses),
	withFields("a brace in a name", "X{Quilt: 1\r\n", LibraryRefuses),
	withFields("an at sign in a name", "X@Quilt: 1\r\n", LibraryRefuses),
	withFields("a semicolon in a name", "X;Quilt: 1\r\n", LibraryRefuses),
	withFields("a NUL in a value", "X-Quilt: 1\x002\r\n", LibraryRefuses),
	withFields("a control byte in a value", "X-Quilt: 1\x012\r\n", LibraryRefuses),
	withFields("an escape in a value", "X-Quilt: 1\x1b2\r\n", LibraryRefuses),
	withFields("a DEL in a value", "X-Quilt: 1\x7f2\r\n", LibraryRefuses),
	withFields("a carriage return in a value", "X-Quilt: 1\r2\r\n", LibraryRefuses),
	withFields("a vertical tab in a value", "X-Quilt: 1\x0b2\r\n", LibraryRefuses),
	withFields("a carriage return behind a value", "X-Quilt: 1\r\r\n", LibraryRefuses),
	withFields("a blank behind the name of the encoding", "Content-Encoding : gzip\r\n", WeRefuse),
	withFields("a blank behind the name of the type", "Content-Type : text/html\r\n", WeRefuse),
}

// withFields returns an answer with further fields.
func withFields(name, fields string, fate Fate) Answer {
	return framed(name, fields+LengthField, Body, fate)
}

// connectionFields are about fields that belong to one connection (RFC 9110, section 7.6.1).
var connectionFields = []Answer{
	withFields("Connection: close", "Connection: close\r\n", Passes),
	withFields("a field for this connection", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", Passes).because("the field is dropped"),
	withFields("empty elements of a list", "Connection: , close,,\r\n", Passes).because("RFC 9110, section 5.6.1"),
	withFields("Keep-Alive", "Keep-Alive: timeout=5\r\n", Passes).because("the field is dropped"),
	withFields("Upgrade, offered", "Connection: upgrade\r\nUpgrade: quilt\r\n", Passes).because("the field is dropped"),
	withFields("an option of two words", "Connection: keep alive\r\n", WeRefuse),
	withFields("a quoted option", "Connection: \"close\"\r\n", WeRefuse),
	withFields("the length for this connection", "Connection: Content-Length\r\n", WeRefuse),
	withFields("the encoding for this connection", "Connection: content-encoding\r\nContent-Encoding: gzip\r\n", WeRefuse),
	withFields("the type for this connection", "Connection: close, Content-Type\r\nContent-Type: text/html\r\n", WeRefuse),
	withFields("Cache-Control for this connection", "Connection: Cache-Control\r\nCache-Control: no-store\r\n", WeRefuse),
}

// framings are about what marks the end of the body (RFC 9112, section 6).
var framings = []Answer{
	framed("the same length twice", LengthField+LengthField, Body, Passes).because("RFC 9110, section 8.6, allows to take it as one"),
	framed("a length with a zero before it", "Content-Length: 026\r\n", Body, Passes),
	framed("a length with blanks around it", "Content-Length: \t26 \r\n", Body, Passes),
	framed("chunks", ChunkedField, wholeChunk+LastChunk, Passes),
	framed("chunks in capital letters", "Transfer-Encoding: CHUNKED\r\n", wholeChunk+LastChunk, Passes),
	framed("a length with a sign", "Content-Length: +26\r\n", Body, LibraryRefuses),
	framed("a negative length", "Content-Length: -26\r\n", Body, LibraryRefuses),
	framed("a length with a blank in it", "Content-Length: 2 6\r\n", Body, LibraryRefuses),
	framed("a list of one length twice", "Content-Length: 26, 26\r\n", Body, LibraryRefuses),
	framed("a list of two lengths", "Content-Length: 26, 27\r\n", Body, LibraryRefuses),
	framed("two lengths", "Content-Length: 26\r\nContent-Length: 27\r\n", Body, LibraryRefuses),
	framed("a length in hexadecimal", "Content-Length: 0x1a\r\n", Body, LibraryRefuses),
	framed("a length with a fraction", "Content-Length: 26.0\r\n", Body, LibraryRefuses),
	framed("an empty length", "Content-Length:\r\n", Body, LibraryRefuses),
	framed("a length beyond 63 bits", "Content-Length: 9223372036854775808\r\n", Body, LibraryRefuses),
	framed("a blank behind the name of the length", "Content-Length : 26\r\n", Body, WeRefuse),
	framed("a length, and chunks with a blank behind the name", LengthField+"Transfer-Encoding : chunked\r\n", Body, WeRefuse),
	framed("a length and chunks", LengthField+ChunkedField, wholeChunk+LastChunk, WeRefuse),
	framed("chunks and a length", ChunkedField+"Content-Length: 5\r\n", wholeChunk+LastChunk, WeRefuse),
	framed("chunks twice", ChunkedField+ChunkedField, wholeChunk+LastChunk, LibraryRefuses),
	framed("a list of chunks twice", "Transfer-Encoding: chunked, chunked\r\n", wholeChunk+LastChunk, LibraryRefuses),
	framed("another coding before chunks", "Transfer-Encoding: gzip, chunked\r\n", wholeChunk+LastChunk, LibraryRefuses),
	framed("another coding alone", "Transfer-Encoding: gzip\r\n", Body, LibraryRefuses),
	framed("the coding identity", LengthField+"Transfer-Encoding: identity\r\n", Body, LibraryRefuses),
	framed("an unknown coding", LengthField+"Transfer-Encoding: xchunked\r\n", Body, LibraryRefuses),
	framed("an empty coding", LengthField+"Transfer-Encoding:\r\n", Body, LibraryRefuses),
	framed("chunks with a parameter", "Transfer-Encoding: chunked;q=1\r\n", wholeChunk+LastChunk, LibraryRefuses),
	framed("chunks in quotes", "Transfer-Encoding: \"chunked\"\r\n", wholeChunk+LastChunk, LibraryRefuses),
	framed("chunks in version 1.0", ChunkedField, wholeChunk+LastChunk, WeRefuse).WithStatusLine("HTTP/1.0 200 OK"),
	framed("a length and chunks in version 1.0", LengthField+ChunkedField, Body, WeRefuse).WithStatusLine("HTTP/1.0 200 OK"),
	framed("no length", "X-Quilt: 1\r\n", Body, ForwarderRefuses).because("one cut short would look whole"),
	framed("no length in version 1.0", "X-Quilt: 1\r\n", Body, ForwarderRefuses).WithStatusLine("HTTP/1.0 200 OK").
		because("one cut short would look whole"),
}

// framed returns an answer with fields that frame its body.
func framed(name, fields, body string, fate Fate) Answer {
	return Answer{
		Name:   name,
		Fields: fields,
		Body:   body,
		Fate:   fate,
	}
}

// WithStatusLine returns a copy with another first line.
func (a Answer) WithStatusLine(line string) Answer {
	a.StatusLine = line + "\r\n"
	return a
}

// because returns a copy with a reason of its fate.
func (a Answer) because(why string) Answer {
	a.Why = why
	return a
}

// passingWithout returns a copy that passes with a status and without a body.
func (a Answer) passingWithout(status int) Answer {
	a.Fate = Passes
	a.Status = status
	a.PassedBody = NoBody
	return a
}

// withoutBody are about statuses that have no body (RFC 9110, sections 6.4.1 and 8.6).
var withoutBody = []Answer{
	framed("204", "X-Quilt: 1\r\n", "", Passes).WithStatusLine("HTTP/1.1 204 No Content").passingWithout(http.StatusNoContent),
	framed("204 with the length 0", "Content-Length: 0\r\n", "", Passes).WithStatusLine("HTTP/1.1 204 No Content").passingWithout(http.StatusNoContent),
	framed("205 with the length 0", "Content-Length: 0\r\n", "", Passes).WithStatusLine("HTTP/1.1 205 Reset Content").passingWithout(http.StatusResetContent),
	framed("304 with the length of what it does not send", LengthField, "", Passes).WithStatusLine("HTTP/1.1 304 Not Modified").passingWithout(http.StatusNotModified),
	framed("204 with a length", LengthField, "", WeRefuse).WithStatusLine("HTTP/1.1 204 No Content"),
	framed("204 with a length and a body", LengthField, Body, WeRefuse).WithStatusLine("HTTP/1.1 204 No Content"),
	framed("204 with chunks", ChunkedField, wholeChunk+LastChunk, WeRefuse).WithStatusLine("HTTP/1.1 204 No Content"),
	framed("205 with a body", LengthField, Body, WeRefuse).WithStatusLine("HTTP/1.1 205 Reset Content"),
	behindHead(framed("205 with chunks", ChunkedField, wholeChunk+LastChunk, WeRefuse)).WithStatusLine("HTTP/1.1 205 Reset Content"),
}

// interims are about answers that precede the final one (RFC 9110, section 15.2).
var interims = []Answer{
	interim("100", "HTTP/1.1 100 Continue\r\n\r\n", Passes),
	interim("102", "HTTP/1.1 102 Processing\r\n\r\n", Passes),
	interim("103 with a field", "HTTP/1.1 103 Early Hints\r\nLink: </quilt>\r\n\r\n", Passes),
	interim("three of them", strings.Repeat("HTTP/1.1 199 Soon\r\n\r\n", 3), Passes),
	interim("100 with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n", WeRefuse),
	interim("100 with chunks", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n", WeRefuse),
	interim("100 with a body", "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nquilt", LibraryRefuses),
	interim("103 with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Quilt: 1\r\n\r\n", WeRefuse),
	interim("103 with a control byte in the reason", "HTTP/1.1 103 Early\x01\r\n\r\n", WeRefuse),
	interim("099", "HTTP/1.1 099 Soon\r\n\r\n", WeRefuse),
	interim("101, unasked", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: quilt\r\n\r\n", WeRefuse),
	interim("101 without a protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", WeRefuse),
	{
		Name:       "100 before status 000",
		Interim:    "HTTP/1.1 100 Continue\r\n\r\n",
		StatusLine: "HTTP/1.1 000 OK\r\n",
		Fate:       WeRefuse,
	},
}

// interim returns a whole answer that another one precedes.
func interim(name, text string, fate Fate) Answer {
	return Answer{
		Name:    "interim " + name,
		Interim: text,
		Fate:    fate,
	}
}

// chunks are about the chunks of a body (RFC 9112, section 7.1).
var chunks = []Answer{
	chunked("sizes in both cases, with zeros before them", "00A\r\none quilt \r\n010\r\nof forty patches\r\n"+LastChunk, Passes),
	chunked("a name as an extension", "1a;patch\r\n"+Body+"\r\n"+LastChunk, Passes),
	chunked("an extension with a value", "1a;patch=40;x=y\r\n"+Body+"\r\n0;end\r\n\r\n", Passes),
	chunked("an extension with a quoted value", "1a;patch=\"a;\\\"b\"\r\n"+Body+"\r\n"+LastChunk, Passes),
	chunked("an extension with blanks", "1a; patch = 40\r\n"+Body+"\r\n"+LastChunk, Passes),
	chunked("a blank before an extension", "1a ;patch\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses).
		because("a recipient should remove it, and no sender may generate it"),
	chunked("no size", "\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a size that is no number", "quilt\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a negative size", "-1a\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a size with a sign", "+1a\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a size with a prefix", "0x1a\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a blank before a size", " 1a\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a blank behind a size", "1a \r\n"+Body+"\r\n"+LastChunk, WeRefuse),
	chunked("a size beyond 64 bits", "1000000000000001a\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a size beyond 63 bits", "8000000000000000\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a line feed alone behind a size", "1a\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a carriage return in a size", "1\ra\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a control byte in an extension", "1a;a\x01\r\n"+Body+"\r\n"+LastChunk, WeRefuse),
	chunked("an extension without a name", "1a;\r\n"+Body+"\r\n"+LastChunk, WeRefuse),
	chunked("an extension without a semicolon", "1a patch\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("a quote that does not end", "1a;patch=\"a\r\n"+Body+"\r\n"+LastChunk, WeRefuse),
	chunked("more data than the size", "19\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("less data than the size", "1b\r\n"+Body+"\r\n"+LastChunk, LibraryRefuses),
	chunked("no line end behind the data", "1a\r\n"+Body+LastChunk, LibraryRefuses),
	chunked("a line feed alone behind the data", "1a\r\n"+Body+"\n"+LastChunk, LibraryRefuses),
	chunked("a malformed second chunk", "a\r\none quilt \r\nx\r\nof forty patches\r\n"+LastChunk, LibraryRefuses),
	chunked("a malformed last chunk", wholeChunk+"0;\r\n\r\n", WeRefuse),
	chunked("a line feed alone at the end", wholeChunk+"0\r\n\n", LibraryRefuses),
}

// chunked returns an answer in chunks.
func chunked(name, body string, fate Fate) Answer {
	return behindHead(framed("chunks: "+name, ChunkedField, body, fate))
}

// behindHead returns an answer whose head is well formed.
func behindHead(answer Answer) Answer {
	answer.BehindHead = true
	return answer
}

// trailers are about the fields behind the last chunk (RFC 9110, section 6.5; RFC 9112, section 7.1.2).
var trailers = []Answer{
	trailer("a field", "X-Sum: 1\r\n", Passes),
	trailer("two fields", "X-Sum: 1\r\nX-Sum: 2\r\n", Passes),
	trailer("a blank in a name", "X Sum: 1\r\n", WeRefuse),
	trailer("a blank behind a name", "X-Sum : 1\r\n", WeRefuse),
	trailer("a control byte in a name", "X\x01Sum: 1\r\n", LibraryRefuses),
	trailer("a control byte in a value", "X-Sum: 1\x01\r\n", LibraryRefuses),
	trailer("no colon", "X-Sum\r\n", LibraryRefuses),
	trailer("no name", ": 1\r\n", LibraryRefuses),
	trailer("a folded line", "X-Sum: 1\r\n 2\r\n", WeRefuse),
	trailer("a blank before the first name", " X-Sum: 1\r\n", LibraryRefuses),
	trailer("a line feed alone", "X-Sum: 1\nX-Other: 1\r\n", WeRefuse),
	trailer("a length", "Content-Length: 5\r\n", WeRefuse),
	trailer("chunks", ChunkedField, WeRefuse),
	trailer("an encoding", "Content-Encoding: gzip\r\n", WeRefuse),
	trailer("a type", "Content-Type: text/html\r\n", WeRefuse),
	trailer("a field of the connection", "Connection: close\r\n", WeRefuse),
	trailer("a key", "Authorization: Bearer 1\r\n", WeRefuse),
}

// trailer returns an answer in chunks with fields behind the last one.
func trailer(name, fields string, fate Fate) Answer {
	return behindHead(framed("trailer: "+name, ChunkedField, wholeChunk+"0\r\n"+fields+"\r\n", fate))
}

// ends are about what comes behind an answer (RFC 9112, section 6.3).
var ends = []Answer{
	{
		Name:          "bytes behind the length",
		Fields:        "Content-Length: 9\r\n",
		Body:          Body,
		Fate:          Passes,
		HasMoreBehind: true,
		Why:           "the answer is whole; the rest is dropped, and the connection is not used again",
		PassedBody:    Body[:9],
	},
	{
		Name:          "an answer behind the length",
		Fields:        LengthField,
		Body:          Body + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		Fate:          Passes,
		HasMoreBehind: true,
		Why:           "the answer is whole; the rest is dropped, and the connection is not used again",
	},
	{
		Name:          "a malformed answer behind the length",
		Fields:        LengthField,
		Body:          Body + "HTTP/1.1 000 OK\r\n\r\n",
		Fate:          Passes,
		HasMoreBehind: true,
		Why:           "the answer is whole; the rest is dropped, and the connection is not used again",
	},
	{
		Name:          "bytes behind the last chunk",
		Fields:        ChunkedField,
		Body:          wholeChunk + LastChunk + "quilts",
		Fate:          Passes,
		HasMoreBehind: true,
		Why:           "the answer is whole; the rest is dropped, and the connection is not used again",
	},
}
