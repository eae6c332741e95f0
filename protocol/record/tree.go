package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the maximum nesting depth of values; records need five levels.
const maxDepth = 12

type valueKind int

const (
	valueNull valueKind = iota
	valueBool
	valueNumber
	valueString
	valueArray
	valueObject
)

// String returns the kind as it appears in error messages.
func (k valueKind) String() string {
	return [...]string{"null", "a boolean", "a number", "a string", "a list", "an object"}[k]
}

// value is a JSON value with its offsets in the text.
type value struct {
	kind    valueKind
	offset  int
	end     int
	text    string
	boolean bool
	members []member
	items   []value
}

type member struct {
	name   string
	offset int
	value  value
}

// parser builds values from text that was validated as JSON.
type parser struct {
	text    []byte
	decoder *json.Decoder
}

var errTooDeep = fmt.Errorf("values nest deeper than %d levels", maxDepth)

// parse parses a sequence of JSON values.
func parse(text []byte) ([]value, error) {
	if err := checkSyntax(text); err != nil {
		return nil, err
	}
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	var values []value
	for {
		v, err := p.value(0)
		if errors.Is(err, io.EOF) {
			return values, nil
		}
		if err != nil {
			return nil, err
		}
		values = append(values, v)
	}
}

// checkSyntax validates the text before tokens are read: Decoder.Token alone
// accepts some malformed texts.
func checkSyntax(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	var raw json.RawMessage
	for {
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *parser) value(depth int) (value, error) {
	if depth > maxDepth {
		return value{}, errTooDeep
	}
	offset := p.nextOffset()
	token, err := p.decoder.Token()
	if err != nil {
		return value{}, err
	}
	v := value{offset: offset}
	switch t := token.(type) {
	case json.Delim:
		err = p.composite(&v, t, depth)
	case bool:
		v.kind, v.boolean = valueBool, t
	case json.Number:
		v.kind, v.text = valueNumber, t.String()
	case string:
		v.kind, v.text = valueString, t
	}
	v.end = int(p.decoder.InputOffset())
	return v, err
}

func (p *parser) composite(v *value, open json.Delim, depth int) error {
	v.kind = valueObject
	if open == '[' {
		v.kind = valueArray
	}
	for p.decoder.More() {
		if err := p.element(v, depth+1); err != nil {
			return err
		}
	}
	_, err := p.decoder.Token()
	return err
}

func (p *parser) element(v *value, depth int) error {
	if v.kind == valueArray {
		item, err := p.value(depth)
		v.items = append(v.items, item)
		return err
	}
	name, err := p.value(depth)
	if err != nil {
		return err
	}
	val, err := p.value(depth)
	v.members = append(v.members, member{name: name.text, offset: name.offset, value: val})
	return err
}

// nextOffset returns the offset at which the next token starts.
func (p *parser) nextOffset() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.text) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// syntaxFault converts a parse error into a fault with its line, if known.
func syntaxFault(text []byte, err error) Fault {
	fault := Fault{Reason: "not valid JSON: " + err.Error()}
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, errTooDeep):
		fault.Reason = err.Error()
	case errors.As(err, &syntax):
		fault.Line = lineOf(text, int(syntax.Offset)-1)
	case errors.Is(err, io.ErrUnexpectedEOF):
		fault.Line = lineOf(text, len(text))
		fault.Reason = "not valid JSON: the text ends too early"
	}
	return fault
}

// lineOf returns the line of an offset, counted from 1.
func lineOf(text []byte, offset int) int {
	offset = min(max(offset, 0), len(text))
	return 1 + bytes.Count(text[:offset], []byte{'\n'})
}
