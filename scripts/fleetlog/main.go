// Command fleetlog sums the lines that the sidecars of a fleet log each second: attempts
// over first tries in the worst ten seconds, and the connections that a sidecar has to an
// endpoint.
//
//	go run ./scripts/fleetlog DIR...
//
// Each folder is one fleet, with a file a sidecar, or several where one was started again.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: fleetlog DIR...")
		os.Exit(2)
	}
	fmt.Println("| folder | files | first tries | attempts over first tries | in the worst 10 s | at | connections to an endpoint, by sidecar: median | p99 | most | of a sidecar: median | most |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, dir := range os.Args[1:] {
		if err := sum(dir); err != nil {
			fmt.Fprintln(os.Stderr, "fleetlog:", err)
			os.Exit(1)
		}
	}
}

// second is what a fleet did within one.
type second struct{ first, again int }

func sum(dir string) error {
	all := map[time.Time]*second{}
	var each, most, whole []float64
	files := 0
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		seen := false
		for lines.Scan() {
			at, v, ok := parse(lines.Text())
			if !ok {
				continue
			}
			seen = true
			s := all[at]
			if s == nil {
				s = &second{}
				all[at] = s
			}
			s.first += v["first"]
			s.again += v["again"]
			if n := v["endpoints"]; n > 0 {
				each, most = append(each, float64(v["conns"])/float64(n)), append(most, float64(v["conns_most"]))
				whole = append(whole, float64(v["conns"]))
			}
		}
		if seen {
			files++
		}
		return lines.Err()
	})
	if err != nil {
		return err
	}
	if len(all) == 0 || len(each) == 0 {
		return fmt.Errorf("%s: %w", dir, errors.New("no line of a sidecar's second in it"))
	}
	times := make([]time.Time, 0, len(all))
	total := second{}
	for at, s := range all {
		times = append(times, at)
		total.first, total.again = total.first+s.first, total.again+s.again
	}
	slices.SortFunc(times, time.Time.Compare)
	worst, worstAt := 0.0, times[0]
	for _, from := range times {
		var w second
		for k := range 10 {
			if s := all[from.Add(time.Duration(k)*time.Second)]; s != nil {
				w.first, w.again = w.first+s.first, w.again+s.again
			}
		}
		// At the ends of a run a few requests say nothing.
		if r := float64(w.first+w.again) / float64(max(w.first, 1)); r > worst && w.first*len(times) > total.first {
			worst, worstAt = r, from
		}
	}
	for _, l := range [][]float64{each, most, whole} {
		slices.Sort(l)
	}
	fmt.Printf("| %s | %d | %d | %.3f | %.3f | %v | %.2f | %.0f | %.0f | %.0f | %.0f |\n", filepath.Base(dir), files, total.first, float64(total.first+total.again)/float64(max(total.first, 1)),
		worst, worstAt.Sub(times[0]), each[len(each)/2], most[len(most)*99/100], most[len(most)-1], whole[len(whole)/2], whole[len(whole)-1])
	return nil
}

// parse reads a line of a sidecar's second: "2006/01/02 15:04:05 INFO second key=value ...".
func parse(line string) (at time.Time, v map[string]int, ok bool) {
	head, rest, ok := strings.Cut(line, " INFO second ")
	if !ok || len(head) < len(time.DateTime) {
		return at, nil, false
	}
	at, err := time.Parse("2006/01/02 15:04:05", head[len(head)-len(time.DateTime):])
	if err != nil {
		return at, nil, false
	}
	v = map[string]int{}
	for f := range strings.FieldsSeq(rest) {
		if key, text, ok := strings.Cut(f, "="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				v[key] = n
			}
		}
	}
	return at, v, true
}
