// Package golden compares pages that tests generate from the code with the files
// that store these pages. Tests that import the package accept the flag -update,
// which writes the generated pages to the files.
package golden

import (
	"flag"
	"fmt"
	"os"
)

var update = flag.Bool("update", false, "write the generated pages")

// Check returns an error if the content of the file at path differs from text. With
// the flag -update, it writes text to the file first.
func Check(path, text string) error {
	if *update {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return fmt.Errorf("update page: %w", err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	if string(data) != text {
		return fmt.Errorf("%s differs from the page generated from the code; run the test with -update", path)
	}
	return nil
}
