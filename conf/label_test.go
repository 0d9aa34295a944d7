package conf

import (
	"regexp"
	"testing"

	"pgregory.net/rapid"
)

// TestTextChecks compares the checks of names, hosts and paths with the patterns that
// define them.
func TestTextChecks(t *testing.T) {
	name := regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	host := regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	path := regexp.MustCompile(`^/[!-~]*$`)
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(
			rapid.StringMatching(`[a-z0-9.A-]{0,66}`), rapid.StringMatching(`[a-z]([a-z0-9-]{0,63}[a-z0-9])?`),
			rapid.StringMatching(`[a-z][a-z.]{245,260}`), rapid.StringMatching(`/?[!-~ ]{0,9}`), rapid.String(),
		).Draw(t, "text")
		if isLabel(text, maxName, "-") != name.MatchString(text) {
			t.Fatalf("name %q", text)
		}
		if isLabel(text, maxHost, ".-") != host.MatchString(text) {
			t.Fatalf("host %q", text)
		}
		if isPath(text) != path.MatchString(text) {
			t.Fatalf("path %q", text)
		}
	})
}
