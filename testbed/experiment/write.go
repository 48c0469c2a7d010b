package experiment

import (
	"encoding/csv"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
)

// Write keeps the results of an experiment in a folder: cells.csv, cells.json and compared.csv.
func Write(dir string, cells []Cell, rows []Paired) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(cells, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "cells.json"), text, 0o644); err != nil {
		return err
	}
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	table := [][]string{{"day", "seed", "variant", "figure", "service", "whole", "worst_window", "costs", "rules_broken", "offered",
		"done", "bounced", "terminated", "lost", "trips", "full", "timed_out", "handshakes"}}
	for _, c := range cells {
		v, n := c.Verdict, c.Verdict.Counts
		row := []string{c.Day, strconv.FormatInt(c.Seed, 10), c.Variant, f(v.Score), f(v.ServiceScore), f(v.Overall), f(v.WorstWindow), f(v.Costs)}
		for _, count := range []int{len(v.BreachCounts), n.Offered, n.Delivered, n.Rejected, n.Failed, n.Lost, n.Attempts, n.Throttled, n.TimedOut, n.Handshakes} {
			row = append(row, strconv.Itoa(count))
		}
		table = append(table, row)
	}
	if err := writeCSV(filepath.Join(dir, "cells.csv"), table); err != nil {
		return err
	}
	table = [][]string{{"day", "variant", "pairs", "base", "mean", "difference", "low", "high", "runs_with_a_broken_rule"}}
	for _, r := range rows {
		table = append(table, []string{r.Day, r.Variant, strconv.Itoa(r.Pairs), f(r.Base), f(r.Mean), f(r.Diff), f(r.Low), f(r.High),
			strconv.Itoa(r.Broken)})
	}
	return writeCSV(filepath.Join(dir, "compared.csv"), table)
}

func writeCSV(path string, table [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	if err := w.WriteAll(table); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// ReadCells reads back what Write kept.
func ReadCells(dir string) ([]Cell, error) {
	text, err := os.ReadFile(filepath.Join(dir, "cells.json"))
	if err != nil {
		return nil, err
	}
	var cells []Cell
	return cells, json.Unmarshal(text, &cells)
}
