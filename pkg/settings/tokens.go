package settings

import (
	"fmt"
	"net"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Roles of tokens, as written in settings files.
const (
	RoleReader   = "reader"
	RoleOperator = "operator"
)

// minTokenLength is the minimum length of a token's secret in bytes. Shorter
// secrets could be guessed.
const minTokenLength = 16

// Token grants access to the administration API to holders of its secret.
type Token struct {
	// Name is recorded as the author of changes made with the token.
	Name string `yaml:"name"`
	// Role is RoleReader or RoleOperator; operators may also read.
	Role string `yaml:"role"`
	// Secret is what a client sends as its access token. The settings key is
	// "token".
	Secret string `yaml:"token"`
}

// checkTokens validates the tokens. It returns the error of the first invalid
// value and its settings key.
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

// IsLoopback reports whether Listen is a loopback address, which only processes
// on this machine can reach.
func (s *Settings) IsLoopback() bool {
	host, _, err := net.SplitHostPort(s.Listen)
	return err == nil && net.ParseIP(host).IsLoopback()
}
