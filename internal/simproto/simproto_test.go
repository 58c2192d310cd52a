package simproto

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
)

// readEvents reads the events of text up to its end or the first error.
func readEvents(text string) ([]Event, error) {
	r := NewReader(strings.NewReader(text))
	var events []Event
	var e Event
	for {
		err := r.Next(&e)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

func TestReaderDecodesBatch(t *testing.T) {
	events, err := readEvents("MARK 8.41225\nMANIFEST 0 1\nITEM 0 10.18.74.7:9003 1.5 3 2 6.1 4\nVIEW 3 2 41 0\n" +
		"ARRIVAL 3 1257971715314116 1 0 acct/k 0.24 - 1\nREPLY 3 1257971715314116 2 10.18.74.7:9003 NOCONN 0.0185 1 -\n" +
		"TIMER 3 77\nWITHDRAWN 5 9\nKILLED 3\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != 8 {
		t.Fatalf("got %d events, want 8", len(events))
	}
	entry := events[1].List[0]
	want := balance.Endpoint{Addr: "10.18.74.7:9003", State: balance.Ready, Zone: 2, Cell: 4, Since: 6100 * time.Millisecond}
	if entry != want || events[1].UpdateKind != balance.Cached {
		t.Errorf("cached list: got entry %+v, want %+v", entry, want)
	}
	if e := events[2]; e.Now != 8412250*time.Microsecond || e.ID != 1257971715314116 || e.Class != 1 || e.Budget != 240*time.Millisecond {
		t.Errorf("request: got %+v", e)
	}
	if e := events[3]; e.Result != balance.ConnectError || e.Number != 2 || !e.Final || e.Elapsed != 18500*time.Microsecond {
		t.Errorf("outcome: got %+v", e)
	}
}

func TestReaderErrorsContainLineNumber(t *testing.T) {
	for text, want := range map[string]string{
		"GO\n":                                     "line 1",
		"MARK x\n":                                 "line 1",
		"MARK 1\nMARK 2\n":                         "line 2",
		"MARK 1\nNONSENSE 3\n":                     "line 2",
		"MARK 1\nTIMER 3\n":                        "line 2",
		"MARK 1\nTIMER x 3\n":                      "line 2",
		"MARK 1\nVIEW 3 2 41 0\n":                  "line 2",
		"MARK 1\nMANIFEST 16 0\n":                  "line 2",
		"MARK 1\nMANIFEST 0 1\nGO\n":               "line 3",
		"MARK 1\nREPLY 3 1 0 a ODD 0.1 1 -\n":      "line 2",
		"MARK 1\nREPLY 3 1 0 a GOOD 0.1 maybe -\n": "line 2",
		"MARK 1\nBORN 3\n":                         "line 2",
		"MARK 1\n":                                 "line 2",
		"MARK 1":                                   "line 1",
		"MARK NaN\n":                               "line 1",
	} {
		if _, err := readEvents(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that contains %q", text, err, want)
		}
	}
}

func TestWriterEncodesActions(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Send(3, 12, "10.18.74.7:9003", 80*time.Millisecond)
	w.After(3, 1500*time.Millisecond+7*time.Microsecond, 77)
	w.Reject(3, 12, 0)
	w.Fail(3, 13)
	w.Watch(3)
	w.Fault(4, "invalid settings")
	if err := w.Reply(); err != nil {
		t.Fatal(err)
	}
	want := "SEND 3 12 0.080000 10.18.74.7:9003\nDEFER 3 1.500007 77\nBOUNCE 3 12 0.000000\nSURRENDER 3 13\nFOLLOW 3 1\nFAULT 4 invalid settings\nACK\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestParseSettings(t *testing.T) {
	c, err := parseConfig("Me=2 NInstances=5 Unknown.Thing=x Limits.TryLimit=6 RegistryMode=ask RequestClasses.count=1 RequestClasses.0.AimS=0.6 RequestClasses.0.Semantics=guarded RequestClasses.0.KeyScope=cell")
	if err != nil {
		t.Fatal(err)
	}
	if c.Index != 2 || c.Instances != 5 || !c.PullDiscovery || c.Classes[0].LatencyTarget != 600*time.Millisecond ||
		c.Classes[0].Idempotency != balance.IdempotentByKey || c.Classes[0].DeduplicationScope != balance.ScopeCell {
		t.Errorf("got %+v", c)
	}
	for _, text := range []string{"Me=x", "Me=-1", "NInstances=1.5", "Limits.TryLimit=1e30", "RegistryMode=shout", "plain"} {
		if _, err := parseConfig(text); err == nil {
			t.Errorf("settings %q: got no error", text)
		}
	}
}

// FuzzReader checks that arbitrary input leads to events or to an error with the line number.
func FuzzReader(f *testing.F) {
	f.Add("MARK 8.41225\nMANIFEST 0 1\nITEM 0 10.18.74.7:9003 1.5 3 2 6.1 4\nVIEW 3 2 41 0\nGO\n")
	f.Add("MARK 1\nREPLY 3 1001 0 a:1 GOOD 0.03 1 -\nARRIVAL 3 1002 1 0 - 0.75 - 0\nTIMER 3 77\nGO\n")
	f.Add("MARK 1\nBORN 3 5 Me=0 NInstances=1\nINBOX 3 2 aGkgNw==\nKILLED 3\nGO\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := readEvents(text); err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("error %q does not start with the line number", err)
		}
	})
}

func parseConfig(text string) (balance.Config, error) {
	s, err := ParseSettings(text)
	if err != nil {
		return balance.Config{}, err
	}
	return s.BalancerConfig(), s.Err()
}
