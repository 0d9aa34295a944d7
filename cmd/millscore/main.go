// Command millscore guards deployments against changes that make them worse. It has the
// users' bench score each deployment of a table and compares the score with that of the
// table.
//
// # Usage
//
//	millscore --bench PATH/fleetbench --sites PATH docs/scores.yaml --why "After the merge of limits."
//
// The program ends with 1 if a score is lower than that of the table by more than the
// table allows, or if a day breaks a rule.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

type settings struct {
	Table   string   `arg:"" help:"The table of scores." type:"existingfile"`
	Bench   string   `help:"The users' bench." required:"" type:"existingfile"`
	Sites   string   `help:"The folder to which the paths of the table are relative." required:"" type:"existingdir"`
	Only    []string `help:"Names of the deployments to score. The default is all."`
	Jobs    int      `help:"Number of days that are played at once." default:"2"`
	Why     string   `help:"What the run is for." required:""`
	Journal string   `help:"The folder of the bench's journal." default:"journal" type:"existingdir"`
}

// table is the file of scores to hold.
type table struct {
	// Fall is by how much a score may be lower than the stored one.
	Fall        float64      `yaml:"fall"`
	Deployments []deployment `yaml:"deployments"`
}

// deployment is one line of the table. Quick is true if only the light days are played.
type deployment struct {
	Name  string  `yaml:"name"`
	Path  string  `yaml:"path"`
	Quick bool    `yaml:"quick"`
	Score float64 `yaml:"score"`
}

// played is what the bench's journal says of a run.
type played struct {
	Site  string
	Score *float64
	Days  []struct {
		Name  string
		Rules map[string]json.RawMessage
		Fault any
	}
}

// verdict returns what is wrong with a run of a deployment, or nothing.
func (t table) verdict(line deployment, run played) []string {
	var faults []string
	for _, day := range run.Days {
		if len(day.Rules) > 0 || day.Fault != nil {
			faults = append(faults, fmt.Sprintf("%s: %s breaks rules or fails: %d rules, fault %v", line.Name, day.Name, len(day.Rules), day.Fault))
		}
	}
	switch {
	case run.Score == nil:
		faults = append(faults, line.Name+": there is no score")
	case *run.Score < line.Score-t.Fall:
		faults = append(faults, fmt.Sprintf("%s: the score %.3f is more than %.2f below %.3f", line.Name, *run.Score, t.Fall, line.Score))
	}
	return faults
}

// score plays a deployment and returns what the journal says of it.
func (s settings) score(ctx context.Context, line deployment) (played, error) {
	args := []string{"score", filepath.Join(s.Sites, line.Path), "--jobs", strconv.Itoa(s.Jobs), "--why", s.Why}
	if line.Quick {
		args = append(args, "--quick")
	}
	before, err := journalEntries(s.Journal)
	if err != nil {
		return played{}, err
	}
	command := exec.CommandContext(ctx, s.Bench, args...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	// The bench ends with an error for a gate that fails; the journal tells more.
	if err := command.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "the bench ended with: %v\n", err)
	}
	after, err := journalEntries(s.Journal)
	if err != nil {
		return played{}, err
	}
	for path := range after {
		if before[path] {
			continue
		}
		run, err := readEntry(path)
		if err != nil {
			return played{}, err
		}
		if run.Site == line.Name {
			return run, nil
		}
	}
	return played{}, errors.Errorf("%s: the bench left no entry in %s", line.Name, s.Journal)
}

func journalEntries(dir string) (map[string]bool, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	entries := make(map[string]bool, len(paths))
	for _, path := range paths {
		entries[path] = true
	}
	return entries, err
}

func readEntry(path string) (played, error) {
	var run played
	text, err := os.ReadFile(path)
	if err != nil {
		return run, err
	}
	return run, errors.WithMessage(json.Unmarshal(text, &run), path)
}

func (s settings) run(ctx context.Context) error {
	text, err := os.ReadFile(s.Table)
	if err != nil {
		return err
	}
	var stored table
	if err := yaml.UnmarshalWithOptions(text, &stored, yaml.Strict()); err != nil {
		return errors.WithMessage(err, s.Table)
	}
	var faults []string
	for _, line := range stored.Deployments {
		if !s.wants(line.Name) {
			continue
		}
		run, err := s.score(ctx, line)
		if err != nil {
			return err
		}
		faults = append(faults, stored.verdict(line, run)...)
	}
	for _, text := range faults {
		fmt.Println("worse:", text)
	}
	if len(faults) > 0 {
		return errors.Errorf("%d findings", len(faults))
	}
	fmt.Println("no deployment is worse than the table")
	return nil
}

func (s settings) wants(name string) bool {
	for _, only := range s.Only {
		if only == name {
			return true
		}
	}
	return len(s.Only) == 0
}

func main() {
	if err := score(); err != nil {
		fmt.Fprintln(os.Stderr, "millscore:", err)
		os.Exit(1)
	}
}

func score() error {
	var chosen settings
	kong.Parse(&chosen, kong.Name("millscore"), kong.Description("Compares the scores of deployments with a table."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return chosen.run(ctx)
}
