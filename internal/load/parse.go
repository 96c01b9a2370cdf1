package load

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// SpecError reports a malformed flag value and the expected syntax.
type SpecError struct {
	Kind     string
	Value    string
	Expected string
}

// Error implements error.
func (e *SpecError) Error() string {
	return e.Kind + " " + strconv.Quote(e.Value) + ": want " + e.Expected
}

const (
	classSyntax    = "NAME=METHOD:/PATH[,share=N][,work=DURATION][,exponential][,stragglers=SHARE][,factor=N][,body=BYTES][,answer=BYTES][,keyed][,resends=N][,deadline=DURATION]"
	endpointSyntax = "[REGION=]http://IP:PORT[,ready=URL][,share=N]"
	callerSyntax   = "NAME[,token=TOKEN][,share=N]"
)

// ParseClass parses the value of a --class flag.
func ParseClass(spec string) (Class, error) {
	fields := strings.Split(spec, ",")
	specErr := &SpecError{Kind: "class", Value: spec, Expected: classSyntax}
	name, target, found := strings.Cut(fields[0], "=")
	method, path, hasMethod := strings.Cut(target, ":")
	if !found || !hasMethod || name == "" || !strings.HasPrefix(path, "/") {
		return Class{}, specErr
	}
	if _, err := http.NewRequest(method, "http://host"+path, nil); err != nil {
		return Class{}, specErr
	}
	c := Class{Name: name, Method: method, Path: path, Weight: 1, StragglerFactor: 1}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		if err := c.setField(key, value); err != nil {
			return Class{}, specErr
		}
	}
	return c, nil
}

func (c *Class) setField(key, value string) (err error) {
	switch key {
	case "share":
		c.Weight, err = strconv.ParseFloat(value, 64)
	case "work":
		c.ServiceTime, err = time.ParseDuration(value)
	case "exponential":
		c.Exponential = true
	case "stragglers":
		c.StragglerShare, err = strconv.ParseFloat(value, 64)
	case "factor":
		c.StragglerFactor, err = strconv.ParseFloat(value, 64)
	case "body":
		c.RequestBodySize, err = strconv.Atoi(value)
	case "answer":
		c.ResponseBodySize, err = strconv.Atoi(value)
	case "keyed":
		c.Keyed = true
	case "resends":
		c.MaxResends, err = strconv.Atoi(value)
	case "deadline":
		c.Deadline, err = time.ParseDuration(value)
	default:
		err = &SpecError{Kind: "class field", Value: key, Expected: classSyntax}
	}
	return err
}

// ParseEndpoint parses the value of a --url flag.
func ParseEndpoint(spec string) (Endpoint, error) {
	fields := strings.Split(spec, ",")
	specErr := &SpecError{Kind: "url", Value: spec, Expected: endpointSyntax}
	e := Endpoint{URL: strings.TrimSuffix(fields[0], "/"), Weight: 1}
	if region, base, found := strings.Cut(e.URL, "="); found {
		e.Region, e.URL = region, base
	}
	parsed, err := url.Parse(e.URL)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return Endpoint{}, specErr
	}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "ready":
			e.ReadyURL = value
		case "share":
			e.Weight, err = strconv.ParseFloat(value, 64)
		default:
			err = specErr
		}
		if err != nil {
			return Endpoint{}, specErr
		}
	}
	return e, nil
}

// ParseCaller parses the value of a --caller flag.
func ParseCaller(spec string) (Caller, error) {
	fields := strings.Split(spec, ",")
	specErr := &SpecError{Kind: "caller", Value: spec, Expected: callerSyntax}
	c := Caller{Name: fields[0], Weight: 1}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch key {
		case "token":
			c.Token = value
		case "share":
			c.Weight, err = strconv.ParseFloat(value, 64)
		default:
			err = specErr
		}
		if err != nil {
			return Caller{}, specErr
		}
	}
	return c, nil
}

// parseAll applies a parser to each value of a flag.
func parseAll[T any](specs []string, parse func(string) (T, error)) ([]T, error) {
	parsed := make([]T, 0, len(specs))
	for _, spec := range specs {
		v, err := parse(spec)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, v)
	}
	return parsed, nil
}
