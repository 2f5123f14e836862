package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"
)

// groupAndOtherBits are the permission bits of a file's group and of other users.
const groupAndOtherBits = 0o077

// ErrPermissions means that users other than the owner have permissions on a file of secrets.
var ErrPermissions = errors.New("only the owner may read this file (mode 0600)")

// APIKey is the identity that a caller's API key stands for.
type APIKey struct {
	Organisation string `yaml:"organisation"`
	Class        string `yaml:"class"`
}

// Keys maps API keys, sent as bearer tokens, to organisation and class. It must never be logged.
type Keys map[string]APIKey

// readSecret reads a file that only its owner may access.
func readSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&groupAndOtherBits != 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrPermissions)
	}
	return os.ReadFile(path)
}

// LoadKeys reads the callers' API keys and checks that their organisations and classes are in the settings.
func (s *Settings) LoadKeys() (Keys, error) {
	text, err := readSecret(s.Daemon.KeysFile)
	if err != nil {
		return nil, fmt.Errorf("Settings.LoadKeys: %w", err)
	}
	var keys Keys
	if err := yaml.Unmarshal(text, &keys); err != nil {
		return nil, fmt.Errorf("Settings.LoadKeys: %s is not a mapping of keys to organisation and class", s.Daemon.KeysFile)
	}
	for _, key := range keys {
		if _, known := s.Organisations[key.Organisation]; !known {
			return nil, fmt.Errorf("Settings.LoadKeys: %s: unknown organisation %q", s.Daemon.KeysFile, key.Organisation)
		}
		if _, known := s.Classes[key.Class]; !known {
			return nil, fmt.Errorf("Settings.LoadKeys: %s: unknown class %q", s.Daemon.KeysFile, key.Class)
		}
	}
	return keys, nil
}

// LoadToken reads the operators' token from a file.
func LoadToken(path string) (string, error) {
	text, err := readSecret(path)
	if err != nil {
		return "", fmt.Errorf("settings.LoadToken: %w", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", fmt.Errorf("settings.LoadToken: %s is empty", path)
	}
	return token, nil
}
