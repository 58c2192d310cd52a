// Command fleetlog summarizes the log lines that the sidecars of a fleet write each second:
// the ratio of all attempts to first attempts, overall and in the worst ten seconds, and the
// number of connections per endpoint.
//
//	go run ./scripts/fleetlog DIR...
//
// Each directory holds the logs of one fleet, with one or more files per sidecar.
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
	fmt.Println("| directory | files | first attempts | attempts per first attempt | in the worst 10 s | start of the worst 10 s | connections per endpoint of a sidecar: median | p99 of the maxima | maximum | connections per sidecar: median | maximum |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, dir := range os.Args[1:] {
		if err := summarize(dir); err != nil {
			fmt.Fprintln(os.Stderr, "fleetlog:", err)
			os.Exit(1)
		}
	}
}

// attemptCounts counts the attempts of a fleet in one second.
type attemptCounts struct{ firstAttempts, retries int }

// summarize prints the table row for the logs below a directory.
func summarize(dir string) error {
	bySecond := map[time.Time]*attemptCounts{}
	var meanConns, maxConns, totalConns []float64
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
			at, values, ok := parseLine(lines.Text())
			if !ok {
				continue
			}
			seen = true
			s := bySecond[at]
			if s == nil {
				s = &attemptCounts{}
				bySecond[at] = s
			}
			s.firstAttempts += values["first"]
			s.retries += values["again"]
			if n := values["endpoints"]; n > 0 {
				meanConns, maxConns = append(meanConns, float64(values["conns"])/float64(n)), append(maxConns, float64(values["conns_most"]))
				totalConns = append(totalConns, float64(values["conns"]))
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
	if len(bySecond) == 0 || len(meanConns) == 0 {
		return fmt.Errorf("%s: %w", dir, errors.New("found no log line with per-second counts and endpoints"))
	}
	times := make([]time.Time, 0, len(bySecond))
	total := attemptCounts{}
	for at, s := range bySecond {
		times = append(times, at)
		total.firstAttempts, total.retries = total.firstAttempts+s.firstAttempts, total.retries+s.retries
	}
	slices.SortFunc(times, time.Time.Compare)
	worstRatio, worstStart := 0.0, times[0]
	for _, from := range times {
		var window attemptCounts
		for k := range 10 {
			if s := bySecond[from.Add(time.Duration(k)*time.Second)]; s != nil {
				window.firstAttempts, window.retries = window.firstAttempts+s.firstAttempts, window.retries+s.retries
			}
		}
		// Windows with few requests, as at the ends of a run, are not representative.
		if ratio := float64(window.firstAttempts+window.retries) / float64(max(window.firstAttempts, 1)); ratio > worstRatio && window.firstAttempts*len(times) > total.firstAttempts {
			worstRatio, worstStart = ratio, from
		}
	}
	for _, l := range [][]float64{meanConns, maxConns, totalConns} {
		slices.Sort(l)
	}
	fmt.Printf("| %s | %d | %d | %.3f | %.3f | %v | %.2f | %.0f | %.0f | %.0f | %.0f |\n", filepath.Base(dir), files, total.firstAttempts, float64(total.firstAttempts+total.retries)/float64(max(total.firstAttempts, 1)),
		worstRatio, worstStart.Sub(times[0]), meanConns[len(meanConns)/2], maxConns[len(maxConns)*99/100], maxConns[len(maxConns)-1], totalConns[len(totalConns)/2], totalConns[len(totalConns)-1])
	return nil
}

// parseLine parses the log line that a sidecar writes each second:
// "2006/01/02 15:04:05 INFO second key=value ...".
func parseLine(line string) (at time.Time, values map[string]int, ok bool) {
	head, rest, ok := strings.Cut(line, " INFO second ")
	if !ok || len(head) < len(time.DateTime) {
		return at, nil, false
	}
	at, err := time.Parse("2006/01/02 15:04:05", head[len(head)-len(time.DateTime):])
	if err != nil {
		return at, nil, false
	}
	values = map[string]int{}
	for f := range strings.FieldsSeq(rest) {
		if key, text, ok := strings.Cut(f, "="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				values[key] = n
			}
		}
	}
	return at, values, true
}
