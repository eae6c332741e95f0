package ivyhollow

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const scenarioFolder = "testkit/scenario/testdata"

var (
	linkTarget   = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	testName     = regexp.MustCompile(`\bTest[A-Z]\w*`)
	scenarioName = regexp.MustCompile(`\bS:([a-z0-9-]+)`)
	logMessage   = regexp.MustCompile(`\.?(?:Info|Error|Debug)S\((?:\w+, )?"([^"]+)"`)
	logTable     = regexp.MustCompile(`(?s)\n\| message \|.*?\n\n`)
	firstColumn  = regexp.MustCompile(`(?m)^\| (` + "`[^|]*`" + `) \|`)
	quoted       = regexp.MustCompile("`([^`]+)`")
	packagePath  = regexp.MustCompile("`((?:client|cmd|coordination|daemon|emulator|protocol|settings|state|telemetry|testkit|transport)/[a-z0-9/_.-]*)`")
)

// filesOf returns all files of the tree whose name ends in suffix.
func readFiles(t *testing.T, suffix string) map[string]string {
	t.Helper()
	files := map[string]string{}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		files[path] = string(text)
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func submatches(pattern *regexp.Regexp, text string) []string {
	var found []string
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}

// A page is moved or renamed and the pages that point to it are forgotten: a
// reader follows a link to nothing.
func TestLinksOfPagesLead(t *testing.T) {
	for page, text := range readFiles(t, ".md") {
		for _, link := range submatches(linkTarget, text) {
			path, _, _ := strings.Cut(link, "#")
			if path == "" || strings.Contains(link, "://") {
				continue
			}
			require.FileExists(t, filepath.Join(filepath.Dir(page), path+indexPage(path)), "%s links to %s", page, link)
		}
	}
}

// index is the page that a reader sees who follows a link to a directory.
func indexPage(path string) string {
	if strings.HasSuffix(path, "/") {
		return "README.md"
	}
	return ""
}

// A test is renamed or removed and the pages go on citing it as a proof.
func TestNamedProofsExist(t *testing.T) {
	tests := readFiles(t, "_test.go")
	var names []string
	for _, text := range tests {
		names = append(names, submatches(testFunction, text)...)
	}
	for page, text := range readFiles(t, ".md") {
		if page == "CONTRIBUTING.md" {
			continue // its TestName is a placeholder
		}
		for _, name := range testName.FindAllString(text, -1) {
			require.True(t, slices.Contains(names, name), "%s names %s", page, name)
		}
		for _, name := range submatches(scenarioName, text) {
			require.FileExists(t, filepath.Join(scenarioFolder, name+".txt"), page)
		}
		for _, path := range submatches(packagePath, text) {
			_, err := os.Stat(strings.TrimSuffix(path, "/..."))
			require.NoError(t, err, page)
		}
	}
}

// An operator looks a log line up and the page has no word about it, or waits
// for one that no instance writes any more.
func TestLogLinesAreOnThePage(t *testing.T) {
	var written []string
	for path, text := range readFiles(t, ".go") {
		top, _, _ := strings.Cut(path, "/")
		if slices.Contains([]string{"daemon", "transport", "telemetry"}, top) && !strings.HasSuffix(path, "_test.go") {
			written = append(written, submatches(logMessage, text)...)
		}
	}
	page, err := os.ReadFile("docs/operations/metrics.md")
	require.NoError(t, err)
	var explained []string
	for _, cell := range submatches(firstColumn, logTable.FindString(string(page))) {
		explained = append(explained, submatches(quoted, cell)...)
	}
	slices.Sort(written)
	slices.Sort(explained)
	require.Equal(t, slices.Compact(written), explained)
}

// The on-call page quotes log lines. One that the code no longer writes sends an
// engineer after a line that never comes.
func TestQuotedLogLinesAreWritten(t *testing.T) {
	var written []string
	for path, text := range readFiles(t, ".go") {
		if !strings.HasSuffix(path, "_test.go") {
			written = append(written, submatches(logMessage, text)...)
		}
	}
	page, err := os.ReadFile("docs/OPERATIONS.md")
	require.NoError(t, err)
	lines := submatches(quotedLine, string(page))
	require.GreaterOrEqual(t, len(lines), 6)
	for _, line := range lines {
		require.Contains(t, written, line)
	}
}

// quotedLine is a log line in an indented block of a page.
var quotedLine = regexp.MustCompile(`(?m)^    \w+\.go:\d+\] "([^"]+)"`)
