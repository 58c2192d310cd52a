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
	subtestFails := eventLine("fail", "b", "TestTwo/part", "") + eventLine("fail", "b", "TestTwo", "") + eventLine("fail", "b", "", "")
	otherSubtestFails := eventLine("fail", "b", "TestTwo/other", "") + subtestFails
	parentFails := eventLine("output", "b", "TestTwo", `    two_test.go:7: wrong\n`) + subtestFails
	const fields = "\n\tcommand: go test ./b\n\tseed: 7\n\tseen: the cause\n\tissue: 46\n"
	const list, subtestList = "# comment\n\nb TestTwo" + fields, "b TestTwo/part" + fields
	for _, c := range []struct {
		name, in, list string
		ok             bool
		want           string
	}{
		{"all pass", passes, "", true, "ok  \tgorselink/a\t0.1s"},
		{"an unlisted test fails", passes + fails, "", false, "two: wrong"},
		{"a known failure fails", passes + fails, list, true, "known failure: b TestTwo FAILED as expected (the cause; issue 46; seed 7; go test ./b)"},
		{"an unlisted test fails beside a known failure", otherFails, list, false, "TestTwo FAILED as expected"},
		{"a package crashes", passes + crash, list, false, "out of time"},
		{"a known failure passes", fixed, list, true, "PASSED: remove its line from the list"},
		{"a known failure did not run", passes, list, false, "DID NOT RUN"},
		{"a listed subtest fails", passes + subtestFails, subtestList, true, "known failure: b TestTwo/part FAILED as expected"},
		{"an unlisted subtest fails beside a listed one", passes + otherSubtestFails, subtestList, false, ""},
		{"the parent of a listed subtest fails itself", passes + parentFails, subtestList, false, ""},
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

// Checks that incomplete entries are rejected, and that the number of entries is not limited.
func TestParseKnownFailures(t *testing.T) {
	const fields = "\n command: c\n seed: s\n seen: a\n  b\n issue: 1\n"
	for _, bad := range []string{"TestTwo" + fields, "b two" + fields, "b TestTwo", " seed: 1\nb TestTwo" + fields, "b TestTwo\n text" + fields,
		"b TestTwo\n seed: s\n seen: a\n issue: 1", "b TestTwo\n command: c\n seen: a\n issue: 1",
		"b TestTwo\n command: c\n seed: s\n issue: 1", "b TestTwo\n command: c\n seed: s\n seen: a\n issue:"} {
		if _, err := parseKnownFailures(bad); err == nil {
			t.Errorf("%q: got no error, want one", bad)
		}
	}
	known, err := parseKnownFailures("a TestA" + fields + "a TestB" + fields + "a TestC" + fields + "a TestD/part" + fields)
	if err != nil || len(known) != 4 || known[0].seen != "a b" {
		t.Errorf("got %+v, %v, want four entries", known, err)
	}
}
