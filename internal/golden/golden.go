// Package golden compares generated pages with their files. Tests that import it
// accept the flag -update, which writes the files.
package golden

import (
	"flag"
	"fmt"
	"os"
)

var update = flag.Bool("update", false, "write the generated pages")

// Check returns an error if the content of the file differs from the text. With
// -update it writes the text to the file first.
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
