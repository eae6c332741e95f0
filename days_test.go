package ivyhollow

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// trafficSeconds is the duration of a day's traffic.
const trafficSeconds = 34

// dayFile is a file of deploy/days. It describes the disturbances of a fleet during
// one day of a test run.
type dayFile struct {
	Day []day `toml:"day"`
}

// deploymentDay is a file of deploy/days with a day for one deployment, whose services and kinds of
// request it names.
type deploymentDay struct {
	Name    string  `toml:"name"`
	Length  float64 `toml:"length_s"`
	Classes []class `toml:"classes"`
	Plan    []event `toml:"plan"`
	Faults  []event `toml:"faults"`
}

// class changes a kind of request for a day.
type class struct {
	Name    string `toml:"name"`
	Retries int    `toml:"retries"`
}

type day struct {
	Name   string  `toml:"name"`
	Slot   string  `toml:"slot"`
	Seed   int64   `toml:"seed"`
	Timing timing  `toml:"timing"`
	Plan   []event `toml:"plan"`
	Faults []event `toml:"faults"`
}

// timing tells how a day's times are varied.
type timing struct {
	// Stands keeps the times as they are written.
	Stands bool `toml:"stands"`
}

// event is one disturbance, by planned work or by a fault. Times are in seconds
// since the start of the traffic.
type event struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	Gap     float64 `toml:"gap_s"`
	For     float64 `toml:"for_s"`
	Share   float64 `toml:"share"`
	Count   int     `toml:"count"`
	X       float64 `toml:"x"`
	How     string  `toml:"how"`
	On      string  `toml:"on"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
	Zone    string  `toml:"zone"`
}

// plannedKinds are the kinds of disturbances that operators cause themselves.
var plannedKinds = []string{
	"config_change", "config_storm", "evacuate", "hup", "release", "revoke", "roll_term", "scale_in", "scale_out",
}

// placeholderName matches a placeholder for a site's own service, kind of request or
// data centre.
var placeholderName = regexp.MustCompile(`^@[csz][0-9]$`)

// readFile decodes a file into a value that has all of its fields, and returns its text.
func readFile(t *testing.T, path string, into any) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	meta, err := toml.Decode(string(text), into)
	require.NoError(t, err, path)
	require.Empty(t, meta.Undecoded(), "%s has fields that no day has", path)
	require.True(t, strings.HasPrefix(string(text), "# "), "%s doesn't say what it keeps in sight", path)
	return string(text)
}

func readDay(t *testing.T, path string) day {
	t.Helper()
	var file dayFile
	readFile(t, path, &file)
	require.Len(t, file.Day, 1, path)
	return file.Day[0]
}

// deploymentDays are the files with a day for one deployment.
var deploymentDays = []string{"deploy/days/rejoined.toml"}

// Prevents invalid day files, which test runs skip silently: a misspelt field, planned
// work among the faults, or a name of one site only.
func TestDaysParse(t *testing.T) {
	paths, err := filepath.Glob("deploy/days/*")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		require.Equal(t, ".toml", filepath.Ext(path), path)
		if slices.Contains(deploymentDays, path) {
			continue
		}
		day := readDay(t, path)
		require.Equal(t, strings.TrimSuffix(filepath.Base(path), ".toml"), day.Name)
		require.Equal(t, "trouble", day.Slot, path)
		require.NotZero(t, day.Seed, path)
		require.NotEmpty(t, day.Plan, path)
		checkEvents(t, path, day.Plan, day.Faults, trafficSeconds)
		for _, e := range slices.Concat(day.Plan, day.Faults) {
			checkPlaceholders(t, path, e)
		}
	}
}

// Prevents invalid day files of one deployment, which test runs skip silently.
func TestDeploymentDaysParse(t *testing.T) {
	for _, path := range deploymentDays {
		var day deploymentDay
		readFile(t, path, &day)
		require.Equal(t, strings.TrimSuffix(filepath.Base(path), ".toml"), day.Name)
		require.NotEmpty(t, day.Plan, path)
		require.Positive(t, day.Length, path)
		checkEvents(t, path, day.Plan, day.Faults, day.Length)
		for _, c := range day.Classes {
			require.NotEmpty(t, c.Name, path)
		}
	}
}

// checkEvents requires planned work in the plan and other disturbances among the faults.
func checkEvents(t *testing.T, path string, plan, faults []event, length float64) {
	t.Helper()
	for _, planned := range plan {
		require.Contains(t, plannedKinds, planned.Kind, path)
		checkEvent(t, path, planned, length)
	}
	for _, fault := range faults {
		require.NotContains(t, plannedKinds, fault.Kind, path)
		checkEvent(t, path, fault, length)
	}
}

// checkEvent requires times within the day and shares of at most 1.
func checkEvent(t *testing.T, path string, e event, length float64) {
	t.Helper()
	require.NotEmpty(t, e.Kind, path)
	require.Positive(t, e.At, "%s: %s", path, e.Kind)
	require.Less(t, e.At+e.For, length, "%s: %s", path, e.Kind)
	require.LessOrEqual(t, e.Share, 1.0, "%s: %s", path, e.Kind)
}

// checkPlaceholders requires placeholders in place of a site's own names.
func checkPlaceholders(t *testing.T, path string, e event) {
	t.Helper()
	for _, name := range []string{e.Service, e.Class, e.Zone} {
		if name != "" {
			require.Regexp(t, placeholderName, name, "%s: %s", path, e.Kind)
		}
	}
}
