// Package golden compares generated pages with the files that hold them. Tests
// that use it take the flag -update, which writes the files.
package golden

import (
	"flag"
	"fmt"
	"os"
)

var update = flag.Bool("update", false, "write the generated pages")

// Check compares the file with the text, after writing it if -update is set.
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
		return fmt.Errorf("%s differs from what the code says; run the test with -update", path)
	}
	return nil
}
