package settings

import (
	"fmt"
	"net"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Roles of tokens.
const (
	RoleReader   = "reader"
	RoleOperator = "operator"
)

// minToken is the shortest accepted token: guessing one must be hopeless.
const minTokenLength = 16

// Token gives the holder of a secret access to the administration API.
type Token struct {
	// Name is the author of the holder's changes.
	Name string `yaml:"name"`
	// Role is "reader" or "operator"; operators may also read.
	Role   string `yaml:"role"`
	Secret string `yaml:"token"`
}

// checkTokens returns the first wrong key of the tokens.
func (s *Settings) checkTokens() (string, error) {
	seen := map[string]bool{}
	for i, t := range s.Tokens {
		key := fmt.Sprintf("admin_tokens[%d]", i)
		switch {
		case t.Name == "" || len(t.Name) > model.MaxNameLength:
			return key, fmt.Errorf("name must have 1 to %d characters", model.MaxNameLength)
		case t.Role != RoleReader && t.Role != RoleOperator:
			return key, fmt.Errorf("role %q is not reader or operator", t.Role)
		case len(t.Secret) < minTokenLength:
			return key, fmt.Errorf("token has fewer than %d characters", minTokenLength)
		case seen[t.Secret]:
			return key, fmt.Errorf("token of %s is listed twice", t.Name)
		}
		seen[t.Secret] = true
	}
	return "", nil
}

// IsLoopback reports whether callers reach the listener from this machine only.
func (s *Settings) IsLoopback() bool {
	host, _, err := net.SplitHostPort(s.Listen)
	return err == nil && net.ParseIP(host).IsLoopback()
}
