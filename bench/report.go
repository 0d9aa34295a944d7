package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// figureRecord is the JSON form of a figure in the file results.jsonl.
type figureRecord struct {
	Experiment string    `json:"experiment"`
	Layout     string    `json:"layout"`
	Variant    string    `json:"variant"`
	Quantity   string    `json:"quantity"`
	Unit       string    `json:"unit"`
	Median     *float64  `json:"median"`
	Runs       []float64 `json:"runs"`
	Target     string    `json:"target,omitempty"`
	Verdict    string    `json:"verdict,omitempty"`
	Seed       uint64    `json:"seed"`
}

func (f Figure) record(seed uint64) figureRecord {
	record := figureRecord{
		Experiment: f.Experiment, Layout: f.Layout, Variant: f.Variant, Quantity: f.Name, Unit: f.Unit,
		Runs: []float64{}, Target: f.Target.String(), Verdict: f.Verdict(), Seed: seed,
	}
	for _, value := range f.Values {
		if !math.IsNaN(value) && !math.IsInf(value, 0) {
			record.Runs = append(record.Runs, value)
		}
	}
	if len(record.Runs) > 0 {
		median := Median(record.Runs)
		record.Median = &median
	}
	return record
}

var columns = []string{"quantity", "unit", "variant", "median", "min … max", "runs", "target", "verdict"}

func (f Figure) cells() []string {
	return []string{
		f.Name, f.Unit, f.Variant, formatNumber(Median(f.Values)), f.Spread(), fmt.Sprint(len(f.Values)), f.Target.String(), f.Verdict(),
	}
}

func writeTable(out io.Writer, title string, figures []Figure) {
	_, _ = fmt.Fprintf(out, "\n%s\n", title)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(columns, "\t"))
	for _, figure := range figures {
		_, _ = fmt.Fprintln(table, strings.Join(figure.cells(), "\t"))
	}
	_ = table.Flush()
}

func writeMarkdown(out io.Writer, title string, figures []Figure) {
	_, _ = fmt.Fprintf(out, "\n### %s\n\n| %s |\n|%s\n", title, strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)))
	for _, figure := range figures {
		_, _ = fmt.Fprintf(out, "| %s |\n", strings.Join(figure.cells(), " | "))
	}
}

// writeFiles appends the figures of an experiment to tables.md and results.jsonl
// in dir and writes their charts there.
func writeFiles(dir, title string, seed uint64, figures []Figure) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	err := appendFile(filepath.Join(dir, "tables.md"), func(out io.Writer) error {
		writeMarkdown(out, title, figures)
		return nil
	})
	if err != nil {
		return err
	}
	err = appendFile(filepath.Join(dir, "results.jsonl"), func(out io.Writer) error {
		encoder := json.NewEncoder(out)
		for _, figure := range figures {
			if err := encoder.Encode(figure.record(seed)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return writePlots(dir, figures)
}

func appendFile(name string, write func(io.Writer) error) error {
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// writePlots writes one chart for each figure name. The chart shows all variants.
func writePlots(dir string, figures []Figure) error {
	sorted := slices.SortedFunc(slices.Values(figures), compareFigures)
	for len(sorted) > 0 {
		first := sorted[0]
		count := 0
		for count < len(sorted) && sorted[count].Name == first.Name {
			count++
		}
		name := slug(first.Experiment + " " + first.Layout + " " + first.Name)
		if err := os.WriteFile(filepath.Join(dir, name+".svg"), barChart(sorted[:count]), 0o644); err != nil {
			return err
		}
		sorted = sorted[count:]
	}
	return nil
}

func slug(text string) string {
	return strings.Trim(strings.Map(func(letter rune) rune {
		switch {
		case letter >= 'a' && letter <= 'z', letter >= '0' && letter <= '9':
			return letter
		case letter >= 'A' && letter <= 'Z':
			return letter + 'a' - 'A'
		default:
			return '-'
		}
	}, text), "-")
}
