package main

import (
	"strings"
	"testing"
)

func line(action, pkg, test, output string) string {
	return `{"Action":"` + action + `","Package":"gorselink/` + pkg + `","Test":"` + test + `","Output":"` + output + `"}` + "\n"
}

func TestJudge(t *testing.T) {
	passes := line("pass", "a", "TestOne", "") + line("output", "a", "", `ok  \tgorselink/a\t0.1s\n`) + line("pass", "a", "", "")
	fails := line("output", "b", "TestTwo", `two: wrong\n`) + line("fail", "b", "TestTwo/part", "") + line("fail", "b", "TestTwo", "") + line("fail", "b", "", "")
	both := line("fail", "b", "TestTwo", "") + line("fail", "b", "TestThree", "") + line("fail", "b", "", "")
	broke := line("output", "b", "", `panic: out of time\n`) + line("fail", "b", "", "")
	mended := line("pass", "b", "TestTwo", "") + line("pass", "b", "", "")
	const red = "# why\n\nb TestTwo: the cause; issue 46\n"
	for _, c := range []struct {
		name, in, red string
		ok            bool
		says          string
	}{
		{"all pass", passes, "", true, "ok  \tgorselink/a\t0.1s"},
		{"an unknown one fails", passes + fails, "", false, "two: wrong"},
		{"a known one fails", passes + fails, red, true, "known red: b TestTwo fails (the cause; issue 46)"},
		{"another fails beside it", both, red, false, "TestTwo fails"},
		{"the package breaks off", passes + broke, red, false, "out of time"},
		{"a known one passes", mended, red, true, "PASSES: take its line out"},
		{"a known one is gone", passes, red, false, "WAS NOT RUN"},
		{"nothing ran", "", "", false, "no test ran"},
		{"not built", line("build-fail", "a", "", "") + passes, "", false, ""},
	} {
		known, err := list(c.red)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if ok := judge(strings.NewReader(c.in), &out, known); ok != c.ok || !strings.Contains(out.String(), c.says) {
			t.Errorf("%s: passes %t, want %t and %q in\n%s", c.name, ok, c.ok, c.says, out.String())
		}
	}
}

func TestList(t *testing.T) {
	for _, bad := range []string{"TestTwo: cause; issue 1", "b TestTwo", "b TestTwo: no number", "b two: cause; issue 1",
		"a TestA: x; issue 1\na TestB: x; issue 1\na TestC: x; issue 1\na TestD: x; issue 1"} {
		if _, err := list(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
