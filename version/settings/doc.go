// Package settings merges the YAML files of a folder in the order of their names and checks the result.
package settings
