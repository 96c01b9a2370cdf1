// Package plan describes in plain text what a new configuration changes at each site and marks the
// harmful changes.
package plan
