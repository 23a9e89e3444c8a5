package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// shellBlocks returns the concatenated sh code blocks of a Markdown page.
func shellBlocks(page string) string {
	var script strings.Builder
	inside := false
	for _, line := range strings.Split(page, "\n") {
		switch {
		case line == "```sh":
			inside = true
		case strings.HasPrefix(line, "```"):
			inside = false
		case inside:
			script.WriteString(line + "\n")
		}
	}
	return script.String()
}

// RunPage starts a deployment in dir and runs the sh code blocks of a Markdown
// page against it. binDir is the folder of the built programs.
func RunPage(page, dir, binDir string) error {
	content, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	script := shellBlocks(string(content))
	if script == "" {
		return nil
	}
	d := newDeployment(dir, binDir)
	defer d.close()
	names := []string{"a-1", "a-2", "b-1", "c-1"}
	if err := d.deploy([]string{"a-1+disk", "a-2", "b-1+disk", "c-1+disk"}); err != nil {
		return err
	}
	if err := d.start(names); err != nil {
		return err
	}
	var addresses []string
	for _, i := range d.instances {
		addresses = append(addresses, i.address())
	}
	shell := exec.Command("sh", "-e", "-c", script)
	shell.Dir = dir
	shell.Env = append(os.Environ(),
		"PATH="+binDir+string(filepath.ListSeparator)+os.Getenv("PATH"),
		"ANVILCRANK_INSTANCES="+strings.Join(addresses, ","))
	if out, err := shell.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w\n%s", filepath.Base(page), err, out)
	}
	return nil
}
