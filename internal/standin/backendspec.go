package standin

import (
	"os"
	"strconv"
	"strings"

	"sigs.k8s.io/yaml"

	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// SpecError reports a malformed specification of a backend server.
type SpecError struct {
	Spec    string
	Allowed string
}

// Error implements error.
func (e *SpecError) Error() string {
	return "backend " + strconv.Quote(e.Spec) + ": want " + e.Allowed
}

const specFormat = "name=IP:PORT[,slots=N][,queue=N][,work_ms=N][,service=S][,site=S][,region=S]"

// ParseBackend parses the value of one --backend flag: name=IP:PORT, followed by optional comma-separated fields.
func ParseBackend(spec string) (backend.Config, error) {
	cfg := backend.Config{Settings: backend.DefaultSettings}
	for i, field := range strings.Split(spec, ",") {
		key, value, found := strings.Cut(field, "=")
		if !found {
			return cfg, &SpecError{Spec: spec, Allowed: specFormat}
		}
		if i == 0 {
			cfg.Name, cfg.Address = key, value
			continue
		}
		if err := setSpecField(&cfg, key, value); err != nil {
			return cfg, &SpecError{Spec: spec, Allowed: specFormat}
		}
	}
	return cfg, cfg.Settings.Validate()
}

func setSpecField(cfg *backend.Config, key, value string) (err error) {
	switch key {
	case "service":
		cfg.Service = value
	case "site":
		cfg.Site = value
	case "region":
		cfg.Region = value
	case "slots":
		cfg.Settings.Slots, err = strconv.Atoi(value)
	case "queue":
		cfg.Settings.Queue, err = strconv.Atoi(value)
	case "work_ms":
		cfg.Settings.WorkMS, err = strconv.ParseFloat(value, 64)
	default:
		err = &SpecError{Spec: key, Allowed: specFormat}
	}
	return err
}

// ReadBackends reads a YAML list of backend servers. Omitted settings keep their defaults.
func ReadBackends(path string) ([]backend.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var count []struct{}
	if err := yaml.Unmarshal(text, &count); err != nil {
		return nil, err
	}
	backends := make([]backend.Config, len(count))
	for i := range backends {
		backends[i].Settings = backend.DefaultSettings
	}
	if err := yaml.UnmarshalStrict(text, &backends); err != nil {
		return nil, err
	}
	for _, b := range backends {
		if err := b.Settings.Validate(); err != nil {
			return nil, err
		}
	}
	return backends, nil
}
