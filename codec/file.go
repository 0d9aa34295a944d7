package codec

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// ReadFile decodes a configuration file. It returns an error with the file's name,
// the line and the reason if the file has an unknown field or a syntax error.
func ReadFile(name string, text []byte) (conf.Config, error) {
	var wire fileWire
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&wire); err != nil && !errors.Is(err, io.EOF) {
		return conf.Config{}, fault.New(fault.ConfigRefused, "%s: %s", name, yaml.FormatError(err, false, !hasKeys(text)))
	}
	config, err := wire.toConf()
	if err != nil {
		return conf.Config{}, fault.New(fault.ConfigRefused, "%s: %s", name, fault.From(err).Message)
	}
	return config, nil
}

// WriteFile encodes a configuration in the format that ReadFile reads.
func WriteFile(config conf.Config) ([]byte, error) {
	text, err := yaml.Marshal(configToWire(config))
	return text, errors.WithMessage(err, "encode configuration file")
}

// toConf converts the resources to their types in package conf. The error lists all
// invalid fields.
func (w fileWire) toConf() (conf.Config, error) {
	var config conf.Config
	var faults faultList
	for _, service := range w.Services {
		config.Services = append(config.Services, conf.Service{Name: types.ServiceName(service.Name), MaxConnections: service.Connections})
	}
	for _, item := range w.Routes {
		config.Routes = append(config.Routes, item.toConf(&faults))
	}
	for _, item := range w.UpstreamRules {
		config.UpstreamRules = append(config.UpstreamRules, item.toConf(&faults))
	}
	for _, item := range w.Teams {
		config.Teams = append(config.Teams, item.toConf(&faults))
	}
	// A file with an empty list of teams requires keys that nobody has.
	config.RequireKeys = w.RequireKeys || w.Teams != nil && len(w.Teams) == 0
	config.Limits = w.Limits.toConf(&faults)
	return config, faults.err()
}

// faultList collects the reasons why a configuration is invalid.
type faultList struct{ reasons []string }

func (fl *faultList) add(format string, args ...any) {
	fl.reasons = append(fl.reasons, fmt.Sprintf(format, args...))
}

func (fl *faultList) err() error {
	if len(fl.reasons) == 0 {
		return nil
	}
	return fault.New(fault.ConfigRefused, "%s", strings.Join(fl.reasons, "; "))
}

func configToWire(config conf.Config) fileWire {
	var wire fileWire
	for _, service := range config.Services {
		wire.Services = append(wire.Services, serviceWire{Name: string(service.Name), Connections: service.MaxConnections})
	}
	for _, route := range config.Routes {
		wire.Routes = append(wire.Routes, routeToWire(route))
	}
	for _, rule := range config.UpstreamRules {
		wire.UpstreamRules = append(wire.UpstreamRules, ruleToWire(rule))
	}
	for _, team := range config.Teams {
		wire.Teams = append(wire.Teams, teamToWire(team))
	}
	wire.RequireKeys = config.RequireKeys
	wire.Limits = limitsToWire(config.Limits)
	return wire
}
