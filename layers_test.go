package ivyhollow

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/ivyhollow/ivyhollow/"

// allowedImports lists the layers that each layer may import beside itself.
var allowedImports = map[string][]string{
	"state":        {},
	"coordination": {"state"},
	"protocol":     {"coordination", "state"},
	"transport":    {"protocol", "coordination", "state"},
}

// forbiddenInCoordination lists packages that coordination must not import: code
// that uses one of them can't run in virtual time.
var forbiddenInCoordination = []string{"net", "net/http", "os", "os/signal", "log", "k8s.io/klog/v2"}

// A layer that imports an upper one, or coordination code that does I/O, can't run in
// another process or in virtual time.
func TestImportsGoDownOnly(t *testing.T) {
	for layer, below := range allowedImports {
		files := token.NewFileSet()
		err := filepath.WalkDir(layer, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.ImportsOnly)
			require.NoError(t, err)
			for _, imported := range file.Imports {
				name, err := strconv.Unquote(imported.Path.Value)
				require.NoError(t, err)
				checkImport(t, path, layer, below, name)
			}
			return nil
		})
		require.NoError(t, err)
	}
}

func checkImport(t *testing.T, path, layer string, below []string, name string) {
	t.Helper()
	if layer == "coordination" {
		require.NotContains(t, forbiddenInCoordination, name, path)
	}
	inside, ok := strings.CutPrefix(name, module)
	if !ok {
		return
	}
	top, _, _ := strings.Cut(inside, "/")
	if top != layer {
		require.Contains(t, below, top, "%s imports %s", path, name)
	}
}
