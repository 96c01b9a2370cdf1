// Package config reads, merges and checks the configuration that operators declare and compiles it
// into the immutable snapshot that entry hosts run on.
package config
