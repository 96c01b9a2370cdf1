package config

import "strings"

func replace(text, old, with string) []byte {
	return []byte(strings.ReplaceAll(text, old, with))
}
