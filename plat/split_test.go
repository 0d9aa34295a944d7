package plat_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sequoiamill.example/sequoiamill/plat"
)

// jsonText generates JSON values, with white space and escapes.
func jsonText(depth int) *rapid.Generator[string] {
	texts := []*rapid.Generator[string]{
		rapid.SampledFrom([]string{"null", "true", "-1.5e3", `"a,]}\"{"`, `"\\"`, "{}", "[ ]", `""`}),
		rapid.Map(rapid.String(), func(text string) string { quoted, _ := json.Marshal(text); return string(quoted) }),
	}
	if depth > 0 {
		texts = append(texts, rapid.Map(rapid.SliceOfN(jsonText(depth-1), 0, 3), func(parts []string) string {
			return "[ " + strings.Join(parts, " ,\n") + "]"
		}), rapid.Map(rapid.SliceOfN(jsonText(depth-1), 0, 3), func(parts []string) string {
			for i := range parts {
				parts[i] = `"k` + strings.Repeat("x", i) + `" : ` + parts[i]
			}
			return "{" + strings.Join(parts, " ,") + " }"
		}))
	}
	return rapid.OneOf(texts...)
}

// TestSplitMatchesDecoder compares the split values of valid texts with those that the
// decoder finds.
func TestSplitMatchesDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(jsonText(3).Draw(t, "text"))
		var array []json.RawMessage
		if json.Unmarshal(text, &array) == nil {
			found, err := plat.SplitArray(text)
			equal := slices.EqualFunc(found, array, func(a, b json.RawMessage) bool { return string(a) == string(b) })
			if err != nil || !equal {
				t.Fatalf("%s is split into %q, %v", text, found, err)
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil && object != nil {
			found, err := plat.SplitObject(text)
			if err != nil || len(found) != len(object) {
				t.Fatalf("%s is split into %q, %v", text, found, err)
			}
			for key, value := range object {
				if string(found[key]) != string(value) {
					t.Fatalf("%s: the value of %q is %q", text, key, found[key])
				}
			}
		}
	})
}

// TestSplitOfBrokenText checks that the end of a text that breaks off is noticed.
func TestSplitOfBrokenText(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "{", `{"a"`, `{"a":1`, `{"a":1,`, `{"a" 1}`, "[1 2]", `["a`, "[1,", "7", `"`} {
		_, err := plat.SplitObject([]byte(text))
		is.True(err != nil)
		if text != "" {
			_, err = plat.SplitArray([]byte(text))
			is.True(err != nil)
		}
	}
}
