package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth limits the nesting of values. Documents need 4 levels; the limit
// bounds the recursion on malicious input.
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

// node is one JSON value with its position in the text. The tree is built from
// the tokens of encoding/json, because its Unmarshal reports no offset for a type
// error in a custom decoder and accepts duplicate keys.
type node struct {
	kind   nodeKind
	offset int
	path   string
	// text is the value of a string, the literal of a number, or true or
	// false.
	text    string
	members []member
	items   []*node
}

// member is one key-value pair of an object.
type member struct {
	key    string
	offset int
	value  *node
}

// childPath returns the path of the field of n with the given key.
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

// parseText parses the text of c. It returns nil if the text is not a single JSON
// value. Other findings, such as duplicate keys, still give a usable tree.
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

// invalidUTF8Offset returns the offset of the first invalid byte, or -1.
// encoding/json would silently replace such bytes.
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

// nextToken returns the next token and its start offset.
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

// parseValue parses one value, including everything nested in it.
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

// parseObject parses the members of n up to its closing brace. For a duplicate
// key it keeps the first value.
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

// parseArray parses the items of n up to its closing bracket.
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
