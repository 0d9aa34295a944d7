package codec

import (
	"bytes"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"sequoiamill.example/sequoiamill/conf"
	"sequoiamill.example/sequoiamill/fault"
	"sequoiamill.example/sequoiamill/types"
)

// ReadFile decodes a configuration file. An unknown field is an error that
// names the file, the line and the reason.
func ReadFile(name string, text []byte) (conf.Config, error) {
	var wire fileWire
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&wire); err != nil && !errors.Is(err, io.EOF) {
		return conf.Config{}, fault.New(fault.ConfigRefused, "%s: %s", name, yaml.FormatError(err, false, true))
	}
	config, err := wire.domain()
	if err != nil {
		return conf.Config{}, fault.New(fault.ConfigRefused, "%s: %s", name, fault.From(err).Message)
	}
	return config, nil
}

// WriteFile encodes a configuration as a configuration file.
func WriteFile(config conf.Config) ([]byte, error) {
	text, err := yaml.Marshal(configToWire(config))
	return text, errors.WithMessage(err, "encode configuration file")
}

func (w fileWire) domain() (conf.Config, error) {
	var config conf.Config
	for _, service := range w.Services {
		config.Services = append(config.Services, conf.Service{Name: types.ServiceName(service.Name)})
	}
	for _, item := range w.Routes {
		route, err := item.domain()
		if err != nil {
			return conf.Config{}, err
		}
		config.Routes = append(config.Routes, route)
	}
	for _, item := range w.UpstreamRules {
		rule, err := item.domain()
		if err != nil {
			return conf.Config{}, err
		}
		config.Rules = append(config.Rules, rule)
	}
	return config, nil
}

func configToWire(config conf.Config) fileWire {
	var wire fileWire
	for _, service := range config.Services {
		wire.Services = append(wire.Services, serviceWire{Name: string(service.Name)})
	}
	for _, route := range config.Routes {
		wire.Routes = append(wire.Routes, routeToWire(route))
	}
	for _, rule := range config.Rules {
		wire.UpstreamRules = append(wire.UpstreamRules, ruleToWire(rule))
	}
	return wire
}
