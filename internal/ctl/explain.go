package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/explain"
	"github.com/bilberryline/bilberryline/internal/setting"
)

// Names of the flags of explain.
const (
	flagHostMetrics = "host-metrics"
	flagRequestHost = "request-host"
	flagPath        = "path"
	flagWorkspace   = "workspace"
	flagTimeLeft    = "time-left"
)

// Forms of output of explain.
const (
	formatText = "text"
	formatJSON = "json"
)

// maxExplanationSize is the maximum size of a host's explanation, in bytes: some hundred bytes for each backend server.
const maxExplanationSize = 4 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "tell where a request would go now, and why, without sending it",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagHostMetrics, Sources: cli.EnvVars("BILBERRY_HOST_METRICS"), Required: true, Validator: checkHostMetrics,
				Usage: "address of a bilberry-gateway's listener for metrics, IP number and port",
			},
			&cli.StringFlag{Name: flagRequestHost, Required: true, Usage: "HTTP host of the request"},
			&cli.StringFlag{Name: flagPath, Required: true, Usage: "path of the request"},
			&cli.StringFlag{Name: flagWorkspace, Usage: "name of the caller's workspace, not its key"},
			&cli.DurationFlag{Name: flagTimeLeft, Usage: "time for which the caller waits; the route's timeout if not given", Validator: checkTimeLeft},
			&cli.StringFlag{Name: flagFormat, Value: formatText, Usage: "form of output: text or json", Validator: checkExplainFormat},
		},
		Action: withTimeout(showExplanation),
	}
}

func checkHostMetrics(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &setting.InvalidError{Flag: "--" + flagHostMetrics, Env: "BILBERRY_HOST_METRICS", Value: value, Allowed: "an IP number and port"}
	}
	return nil
}

func checkTimeLeft(value time.Duration) error {
	if value > 0 {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagTimeLeft, Value: value.String(), Allowed: "a duration above 0"}
}

func checkExplainFormat(value string) error {
	if value == formatText || value == formatJSON {
		return nil
	}
	return &setting.InvalidError{Flag: "--" + flagFormat, Value: value, Allowed: "text or json"}
}

// showExplanation asks a gateway for an explanation and writes it in the selected format.
func showExplanation(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{explain.ParamHost: {cmd.String(flagRequestHost)}, explain.ParamPath: {cmd.String(flagPath)}}
	if workspace := cmd.String(flagWorkspace); workspace != "" {
		query.Set(explain.ParamWorkspace, workspace)
	}
	if left := cmd.Duration(flagTimeLeft); left > 0 {
		query.Set(explain.ParamTimeLeft, left.String())
	}
	e, err := fetchExplanation(ctx, cmd.String(flagHostMetrics), query)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if cmd.String(flagFormat) == formatText {
		return explain.WriteText(out, e)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(e)
}

// fetchExplanation requests an explanation from the host with the given metrics address. On failure it returns an
// ExplainError.
func fetchExplanation(ctx context.Context, address string, query url.Values) (*explain.Explanation, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+explain.Path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, &ExplainError{Address: address, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &ExplainError{Address: address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationSize))
	if err != nil {
		return nil, &ExplainError{Address: address, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &ExplainError{Address: address, Status: resp.StatusCode, Detail: strings.TrimSpace(string(body))}
	}
	e := &explain.Explanation{}
	if err := json.Unmarshal(body, e); err != nil {
		return nil, &ExplainError{Address: address, Err: err}
	}
	return e, nil
}
