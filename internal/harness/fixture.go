package harness

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"sigs.k8s.io/yaml"

	"github.com/bilberryline/bilberryline/examples"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Fixture is an example configuration whose backend servers are simulated.
type Fixture struct {
	// Name is the name of the example.
	Name string
	// Declaration is the content of the base file.
	Declaration *config.Declaration
	// Overlays are the contents of the overlay files by site.
	Overlays map[string][]byte
	// Backends are the simulated servers of all targets, sorted by service and name.
	Backends []backend.Config
}

// TokenSuffix is appended to the name of a caller of an example to form its bearer token.
const TokenSuffix = "-example-token"

// newFixture reads an example and assigns each target a simulated server on a free port.
func newFixture(name string, ports *PortAllocator) (*Fixture, error) {
	base, err := examples.Files.ReadFile(name + "/base.yaml")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f := &Fixture{Name: name, Declaration: &config.Declaration{}, Overlays: map[string][]byte{}}
	if err := yaml.Unmarshal(base, f.Declaration); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := f.readOverlays(name + "/sites"); err != nil {
		return nil, err
	}
	f.addBackends(ports)
	return f, nil
}

func (f *Fixture) readOverlays(dir string) error {
	files, err := fs.ReadDir(examples.Files, dir)
	if err != nil {
		return errors.WithStack(err)
	}
	for _, file := range files {
		text, err := examples.Files.ReadFile(dir + "/" + file.Name())
		if err != nil {
			return errors.WithStack(err)
		}
		f.Overlays[strings.TrimSuffix(file.Name(), ".yaml")] = text
	}
	return nil
}

func (f *Fixture) addBackends(ports *PortAllocator) {
	for _, service := range slices.Sorted(maps.Keys(f.Declaration.Services)) {
		declared := f.Declaration.Services[service]
		for _, name := range slices.Sorted(maps.Keys(declared.Targets)) {
			target := declared.Targets[name]
			target.Address = ports.Allocate()
			f.Backends = append(f.Backends, f.backendConfig(service, name, declared, target))
		}
	}
}

func (f *Fixture) backendConfig(service, name string, declared *config.DeclaredService, target *config.DeclaredTarget) backend.Config {
	settings := backend.DefaultSettings
	if d := declared.TargetDefaults; d != nil && d.Slots != nil {
		settings.Slots = *d.Slots
	}
	if target.Slots != nil {
		settings.Slots = *target.Slots
	}
	if p := declared.Probe; p != nil && p.Cost != nil {
		settings.ProbeMS = float64(*p.Cost) / 1e6
	}
	return backend.Config{
		Name:     name,
		Address:  target.Address,
		Service:  service,
		Site:     target.Site,
		Region:   f.regionOf(target.Site),
		Settings: settings,
	}
}

func (f *Fixture) regionOf(site string) string {
	for name, region := range f.Declaration.Regions {
		if _, found := region.Sites[site]; found {
			return name
		}
	}
	return ""
}

// sites returns all data centres, interleaved by region.
func (f *Fixture) sites() []string {
	var columns [][]string
	longest := 0
	for _, region := range slices.Sorted(maps.Keys(f.Declaration.Regions)) {
		column := slices.Sorted(maps.Keys(f.Declaration.Regions[region].Sites))
		columns = append(columns, column)
		longest = max(longest, len(column))
	}
	var sites []string
	for i := range longest {
		for _, column := range columns {
			if i < len(column) {
				sites = append(sites, column[i])
			}
		}
	}
	return sites
}

// writeConfig writes the configuration to base.yaml and sites/SITE.yaml in dir.
func (f *Fixture) writeConfig(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, "sites"), 0o700); err != nil {
		return errors.WithStack(err)
	}
	text, err := yaml.Marshal(f.Declaration)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "base.yaml"), text, 0o600); err != nil {
		return errors.WithStack(err)
	}
	for site, text := range f.Overlays {
		if err := os.WriteFile(filepath.Join(dir, "sites", site+".yaml"), text, 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
