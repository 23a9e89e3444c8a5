package scenario_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/anvilcrank/anvilcrank/internal/scenario"
)

// binDir is the folder of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs that the scripts start, and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "anvilcrank-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/anvilcrankd", "../../cmd/anvilcrank")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Runs the scripts in testdata. The first lines of each script name the failure
// that the script guards against.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	testscript.Run(t, scenario.Params("testdata", binDir))
}

// Guards against commands in the operations pages that fail as written.
func TestOperationsPages(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	pages, err := filepath.Glob("../../docs/operations/*.md")
	if err != nil || len(pages) < 7 {
		t.Fatalf("%d pages: %v", len(pages), err)
	}
	for _, page := range pages {
		t.Run(filepath.Base(page), func(t *testing.T) {
			t.Parallel()
			if err := scenario.RunPage(page, t.TempDir(), binDir); err != nil {
				t.Fatal(err)
			}
		})
	}
}
