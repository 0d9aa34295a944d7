package plat

import (
	"encoding/json"

	"sequoiamill.example/sequoiamill/fault"
)

// SplitObject returns the values of a JSON object by their keys. It looks only for where
// each value ends, so that one that can't be decoded leaves the others readable. The error
// is of kind fault.InvalidInput.
func SplitObject(text []byte) (map[string]json.RawMessage, error) {
	values := map[string]json.RawMessage{}
	sp := &splitter{text: text}
	err := sp.split('{', '}', func() bool {
		var key string
		if json.Unmarshal(sp.value(), &key) != nil || !sp.accept(':') {
			return false
		}
		values[key] = sp.value()
		return true
	})
	return values, err
}

// SplitArray returns the values of a JSON array in the way of SplitObject. null has none.
func SplitArray(text []byte) ([]json.RawMessage, error) {
	var values []json.RawMessage
	sp := &splitter{text: text}
	if len(text) == 0 || string(sp.value()) == "null" {
		return nil, nil
	}
	sp.at = 0
	err := sp.split('[', ']', func() bool {
		values = append(values, sp.value())
		return true
	})
	return values, err
}

// splitter finds the values of a JSON text.
type splitter struct {
	text []byte
	at   int
}

// split calls next at each value between an opening and a closing character.
func (sp *splitter) split(opening, closing byte, next func() bool) error {
	whole := sp.accept(opening)
	for first := true; whole && !sp.accept(closing); first = false {
		before := sp.at
		whole = (first || sp.accept(',')) && next() && sp.at > before
	}
	if !whole {
		return fault.New(fault.InvalidInput, "the JSON text breaks off or is malformed at byte %d", sp.at)
	}
	return nil
}

// accept skips white space and the given character. It returns false if that does not
// follow.
func (sp *splitter) accept(char byte) bool {
	for sp.at < len(sp.text) && isSpace(sp.text[sp.at]) {
		sp.at++
	}
	if sp.at == len(sp.text) || sp.text[sp.at] != char {
		return false
	}
	sp.at++
	return true
}

// value returns the value that follows.
func (sp *splitter) value() json.RawMessage {
	for sp.at < len(sp.text) && isSpace(sp.text[sp.at]) {
		sp.at++
	}
	start, depth := sp.at, 0
	for sp.at < len(sp.text) {
		switch char := sp.text[sp.at]; {
		case char == '"':
			sp.skipString()
			continue
		case char == '{' || char == '[':
			depth++
		case depth == 0 && (char == ',' || char == ':' || isSpace(char)), depth == 0 && (char == '}' || char == ']'):
			return sp.text[start:sp.at]
		case char == '}' || char == ']':
			depth--
		}
		sp.at++
	}
	return sp.text[start:]
}

func (sp *splitter) skipString() {
	for sp.at++; sp.at < len(sp.text); sp.at++ {
		switch sp.text[sp.at] {
		case '\\':
			sp.at++
		case '"':
			sp.at++
			return
		}
	}
	sp.at = len(sp.text)
}

func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\n' || char == '\r' }
