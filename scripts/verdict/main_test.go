package main

import (
	"strings"
	"testing"
)

// eventLine returns a line of the output of go test -json.
func eventLine(action, pkg, test, output string) string {
	return `{"Action":"` + action + `","Package":"gorselink/` + pkg + `","Test":"` + test + `","Output":"` + output + `"}` + "\n"
}

// Checks the result and the report for listed and unlisted failures.
func TestEvaluate(t *testing.T) {
	passes := eventLine("pass", "a", "TestOne", "") + eventLine("output", "a", "", `ok  \tgorselink/a\t0.1s\n`) + eventLine("pass", "a", "", "")
	fails := eventLine("output", "b", "TestTwo", `two: wrong\n`) + eventLine("fail", "b", "TestTwo/part", "") + eventLine("fail", "b", "TestTwo", "") + eventLine("fail", "b", "", "")
	otherFails := eventLine("fail", "b", "TestTwo", "") + eventLine("fail", "b", "TestThree", "") + eventLine("fail", "b", "", "")
	crash := eventLine("output", "b", "", `panic: out of time\n`) + eventLine("fail", "b", "", "")
	fixed := eventLine("pass", "b", "TestTwo", "") + eventLine("pass", "b", "", "")
	const list = "# comment\n\nb TestTwo: the cause; issue 46\n"
	for _, c := range []struct {
		name, in, list string
		ok             bool
		want           string
	}{
		{"all pass", passes, "", true, "ok  \tgorselink/a\t0.1s"},
		{"an unlisted test fails", passes + fails, "", false, "two: wrong"},
		{"a known failure fails", passes + fails, list, true, "known failure: b TestTwo FAILED as expected (the cause; issue 46)"},
		{"an unlisted test fails beside a known failure", otherFails, list, false, "TestTwo FAILED as expected"},
		{"a package crashes", passes + crash, list, false, "out of time"},
		{"a known failure passes", fixed, list, true, "PASSED: remove its line from the list"},
		{"a known failure did not run", passes, list, false, "DID NOT RUN"},
		{"no test ran", "", "", false, "no test ran"},
		{"a package was not built", eventLine("build-fail", "a", "", "") + passes, "", false, ""},
	} {
		known, err := parseKnownFailures(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if ok := evaluate(strings.NewReader(c.in), &out, known); ok != c.ok || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: got pass %t, want %t and %q in\n%s", c.name, ok, c.ok, c.want, out.String())
		}
	}
}

// Checks that malformed lines and lists of more than three tests are rejected.
func TestParseKnownFailures(t *testing.T) {
	for _, bad := range []string{"TestTwo: cause; issue 1", "b TestTwo", "b TestTwo: no number", "b two: cause; issue 1",
		"a TestA: x; issue 1\na TestB: x; issue 1\na TestC: x; issue 1\na TestD: x; issue 1"} {
		if _, err := parseKnownFailures(bad); err == nil {
			t.Errorf("%q: got no error, want one", bad)
		}
	}
}
