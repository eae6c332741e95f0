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

// readFiles returns the content by path of all files whose name ends in suffix.
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

// Prevents broken links to pages that were moved or renamed.
func TestLinksOfPagesResolve(t *testing.T) {
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

// indexPage returns the page that a link to a directory leads to, or the empty string
// for a link to a file.
func indexPage(path string) string {
	if strings.HasSuffix(path, "/") {
		return "README.md"
	}
	return ""
}

// Prevents pages from citing tests, scenarios or packages that were renamed or
// removed.
func TestReferencedNamesExist(t *testing.T) {
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

// Operators look log messages up on the page: it must explain each message that the
// code writes, and none that it no longer writes.
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

// The on-call page quotes log lines. The code must still write each of them, since
// engineers search the logs for them.
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

// quotedLine matches a log line in an indented block of a page.
var quotedLine = regexp.MustCompile(`(?m)^    \w+\.go:\d+\] "([^"]+)"`)
