package ctl

import (
	"context"
	"errors"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bilberryline/bilberryline/internal/config"
)

// validateResult is the output of validate.
type validateResult struct {
	Valid bool `json:"valid"`
	// Sites are the sites of a valid configuration.
	Sites    []siteCounts             `json:"sites,omitempty"`
	Problems config.DeclarationErrors `json:"problems,omitempty"`
}

// siteCounts holds the number of services, backend servers and callers at a site.
type siteCounts struct {
	Site     string `json:"site"`
	Services int    `json:"services"`
	Targets  int    `json:"targets"`
	Callers  int    `json:"callers"`
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a folder with base.yaml and sites/NAME.yaml for all sites",
		ArgsUsage: "FOLDER",
		Action:    withTimeout(validate),
	}
}

func validate(_ context.Context, cmd *cli.Command) error {
	folder, err := singleArgument(cmd)
	if err != nil {
		return err
	}
	_, snapshots, err := loadTree(folder)
	var problems config.DeclarationErrors
	if errors.As(err, &problems) && cmd.String(flagOutput) == outputJSON {
		if printErr := printResult(cmd, validateResult{Problems: problems}, nil); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return err
	}
	result := validateResult{Valid: true}
	for _, site := range sortedSites(snapshots) {
		result.Sites = append(result.Sites, countSite(site, snapshots[site]))
	}
	return printResult(cmd, result, func(w io.Writer) {
		writeRow(w, "SITE", "SERVICES", "BACKEND SERVERS", "CALLERS")
		for _, s := range result.Sites {
			writeRow(w, siteLabel(s.Site), s.Services, s.Targets, s.Callers)
		}
	})
}

func countSite(site string, s *config.Snapshot) siteCounts {
	counts := siteCounts{Site: site, Services: len(s.Services), Callers: len(s.Callers)}
	for _, service := range s.Services {
		counts.Targets += len(service.Targets)
	}
	return counts
}
