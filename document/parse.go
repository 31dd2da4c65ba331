package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth bounds nesting. The form needs 4 levels; the bound keeps the
// recursion of a hostile input short.
const maxDepth = 16

// nodeKind is the JSON type of a node.
type nodeKind uint8

const (
	kindNull nodeKind = iota
	kindBool
	kindNumber
	kindString
	kindArray
	kindObject
)

var nodeKindNames = [...]string{"null", "a boolean", "a number", "a string", "an array", "an object"}

func (k nodeKind) String() string { return nodeKindNames[k] }

// node is one JSON value with its place in the text. encoding/json reports no
// offset for a wrong type inside custom decoding and ignores duplicate keys, so
// the tree is built from its tokens.
type node struct {
	kind   nodeKind
	offset int
	path   string
	// text is the value of a string, a number's literal, or true or false.
	text    string
	members []member
	items   []*node
}

// member is one key of an object.
type member struct {
	key    string
	offset int
	value  *node
}

// child returns the path of a field of n.
func (n *node) childPath(key string) string {
	if n.path == "" {
		return key
	}
	return n.path + "." + key
}

// parser builds nodes from tokens.
type parser struct {
	*collector
	dec *json.Decoder
}

// parseText builds the tree of text. It returns nil if the text is not one JSON
// value; other findings, such as duplicate keys, leave the tree usable.
func parseText(c *collector) *node {
	if offset := invalidUTF8Offset(c.text); offset >= 0 {
		c.addFinding(offset, "", "text is not valid UTF-8")
		return nil
	}
	var raw json.RawMessage
	if err := json.Unmarshal(c.text, &raw); err != nil {
		offset := len(c.text)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = int(syntax.Offset) - 1
		}
		c.addFinding(offset, "", "not valid JSON: %v", err)
		return nil
	}
	p := &parser{collector: c, dec: json.NewDecoder(bytes.NewReader(c.text))}
	p.dec.UseNumber()
	root, err := p.parseValue("", 0)
	if err != nil {
		c.addFinding(int(p.dec.InputOffset()), "", "%v", err)
		return nil
	}
	return root
}

// invalidUTF8 returns the offset of the first invalid byte, or -1.
// encoding/json would replace such bytes silently.
func invalidUTF8Offset(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return -1
}

// next returns the next token and the offset at which it begins.
func (p *parser) nextToken() (json.Token, int, error) {
	start := int(p.dec.InputOffset())
	for start < len(p.text) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[start]) >= 0 {
		start++
	}
	token, err := p.dec.Token()
	if errors.Is(err, io.EOF) {
		err = errors.New("unexpected end of text")
	}
	return token, start, err
}

// value reads one value.
func (p *parser) parseValue(path string, depth int) (*node, error) {
	token, offset, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	n := &node{offset: offset, path: path}
	switch t := token.(type) {
	case nil:
		n.kind = kindNull
	case bool:
		n.kind, n.text = kindBool, fmt.Sprint(t)
	case json.Number:
		n.kind, n.text = kindNumber, t.String()
	case string:
		n.kind, n.text = kindString, t
	case json.Delim:
		if depth == maxDepth {
			return nil, fmt.Errorf("values are nested more than %d deep", maxDepth)
		}
		if t == '{' {
			n.kind = kindObject
			return n, p.parseObject(n, depth)
		}
		n.kind = kindArray
		return n, p.parseArray(n, depth)
	}
	return n, nil
}

// object reads the members of n up to its closing brace.
func (p *parser) parseObject(n *node, depth int) error {
	seen := map[string]bool{}
	for p.dec.More() {
		token, offset, err := p.nextToken()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		value, err := p.parseValue(n.childPath(key), depth+1)
		if err != nil {
			return err
		}
		if seen[key] {
			p.addFinding(offset, n.childPath(key), "key is given twice")
			continue
		}
		seen[key] = true
		n.members = append(n.members, member{key, offset, value})
	}
	_, _, err := p.nextToken()
	return err
}

// array reads the items of n up to its closing bracket.
func (p *parser) parseArray(n *node, depth int) error {
	for p.dec.More() {
		item, err := p.parseValue(fmt.Sprintf("%s[%d]", n.path, len(n.items)), depth+1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, _, err := p.nextToken()
	return err
}
