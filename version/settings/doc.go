// Package settings merges a folder of small YAML files in the order of their names and checks the result.
package settings
