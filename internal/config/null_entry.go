package config

import "reflect"

// findNullEntry returns the path of a map entry that is null, or the empty string. parseDocument
// rejects such entries, but a canonical tree written by another version may contain one.
func findNullEntry(v reflect.Value, path string) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return ""
		}
		return findNullEntry(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			if found := findNullEntry(v.Field(i), path); found != "" {
				return found
			}
		}
	case reflect.Map:
		if v.Type().Elem().Kind() != reflect.Pointer {
			return ""
		}
		for entries := v.MapRange(); entries.Next(); {
			at := joinPath(path, entries.Key().String())
			if entries.Value().IsNil() {
				return at
			}
			if found := findNullEntry(entries.Value(), at); found != "" {
				return found
			}
		}
	}
	return ""
}
