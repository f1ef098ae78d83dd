// Package scanner splits a JSON document into the encoded values of its outermost object
// or array. It uses constant memory for each level of nesting and no recursion, so that
// it has no limit on depth, and it does not check the values that it returns: one that is
// no valid JSON costs only itself, as long as its brackets and quotes are balanced.
package scanner

import (
	"encoding/json"
	"fmt"
)

// Field is a field of an encoded object.
type Field struct {
	// Name is the decoded name.
	Name string
	// Value is the encoded value. It shares its memory with the document.
	Value []byte
}

// SyntaxError means that a document cannot be split.
type SyntaxError struct {
	// Offset is the position in the document, in bytes.
	Offset int
	// Want is what was expected there.
	Want string
}

// Error returns the position and what was expected there.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("offset %d: want %s", e.Offset, e.Want)
}

// Fields returns the fields of an encoded object in the order of the document. Several
// may have the same name.
func Fields(document []byte) ([]Field, error) {
	var fields []Field
	err := scanItems(document, '{', '}', func(c *cursor) error {
		name, err := c.fieldName()
		if err != nil {
			return err
		}
		value, err := c.value()
		fields = append(fields, Field{
			Name:  name,
			Value: value,
		})
		return err
	})
	if err != nil {
		return nil, err
	}
	return fields, nil
}

// Elements returns the encoded elements of an encoded array. They share their memory with
// the document.
func Elements(document []byte) ([][]byte, error) {
	var elements [][]byte
	err := scanItems(document, '[', ']', func(c *cursor) error {
		value, err := c.value()
		elements = append(elements, value)
		return err
	})
	if err != nil {
		return nil, err
	}
	return elements, nil
}

// Lookup returns the encoded value of the last field with a name, or nil.
func Lookup(fields []Field, name string) []byte {
	for i := len(fields) - 1; i >= 0; i-- {
		if fields[i].Name == name {
			return fields[i].Value
		}
	}
	return nil
}

// scanItems calls scan at the start of each item of an object or array, which must be all
// of the document.
func scanItems(document []byte, opening, closing byte, scan func(*cursor) error) error {
	c := &cursor{
		document: document,
	}
	if !c.accept(opening) {
		return c.expected(string(opening))
	}
	for first := true; !c.accept(closing); first = false {
		if !first && !c.accept(',') {
			return c.expected("',' or " + string(closing))
		}
		if err := scan(c); err != nil {
			return err
		}
	}
	c.skipSpace()
	if c.offset < len(document) {
		return c.expected("the end of the document")
	}
	return nil
}

// cursor is a position in a document.
type cursor struct {
	document []byte
	offset   int
}

func (c *cursor) expected(what string) error {
	return &SyntaxError{
		Offset: c.offset,
		Want:   what,
	}
}

func (c *cursor) skipSpace() {
	for c.offset < len(c.document) && isSpace(c.document[c.offset]) {
		c.offset++
	}
}

// accept skips white space and, if it is next, the given byte. It reports whether it was.
func (c *cursor) accept(wanted byte) bool {
	c.skipSpace()
	if c.offset == len(c.document) || c.document[c.offset] != wanted {
		return false
	}
	c.offset++
	return true
}

// fieldName decodes the name of a field and skips the colon behind it.
func (c *cursor) fieldName() (string, error) {
	c.skipSpace()
	start := c.offset
	if c.offset == len(c.document) || c.document[c.offset] != '"' {
		return "", c.expected("the name of a field")
	}
	if err := c.skipString(); err != nil {
		return "", err
	}
	var name string
	if json.Unmarshal(c.document[start:c.offset], &name) != nil {
		return "", c.expected("the name of a field")
	}
	if !c.accept(':') {
		return "", c.expected("':'")
	}
	return name, nil
}

// value returns the encoded value at the cursor and skips it. It ends before the first
// comma, closing bracket or white space that is neither inside brackets nor in a string.
func (c *cursor) value() ([]byte, error) {
	c.skipSpace()
	start := c.offset
	depth := 0
	for c.offset < len(c.document) {
		next := c.document[c.offset]
		if depth == 0 && endsValue(next) {
			break
		}
		switch next {
		case '"':
			if err := c.skipString(); err != nil {
				return nil, err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		c.offset++
	}
	if depth > 0 {
		return nil, c.expected("a closing bracket")
	}
	if c.offset == start {
		return nil, c.expected("a value")
	}
	return c.document[start:c.offset:c.offset], nil
}

// skipString skips the string at the cursor.
func (c *cursor) skipString() error {
	for c.offset++; c.offset < len(c.document); c.offset++ {
		switch c.document[c.offset] {
		case '\\':
			c.offset++
		case '"':
			c.offset++
			return nil
		}
	}
	c.offset = len(c.document)
	return c.expected("the end of a string")
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\t' || b == '\n' || b == '\r'
}

func endsValue(b byte) bool {
	return b == ',' || b == '}' || b == ']' || isSpace(b)
}
