package config

import "strings"

func replaceAll(text, old, with string) []byte {
	return []byte(strings.ReplaceAll(text, old, with))
}
