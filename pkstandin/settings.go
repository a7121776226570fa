package pkstandin

import (
	"fmt"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkyaml"
)

const anyPort = "127.0.0.1:0"

// Settings configures the stand-ins.
type Settings struct {
	// Store, Platform and Admin are the addresses to listen on.
	Store    string `yaml:"store"`
	Platform string `yaml:"platform"`
	Admin    string `yaml:"admin"`
	// LinkDelay is the one-way delay between data centres.
	LinkDelay time.Duration `yaml:"link"`
	// LoadTime is the time that an engine takes to load a model.
	LoadTime time.Duration                  `yaml:"load_time"`
	Kinds    map[pkid.AcceleratorKind]Speed `yaml:"kinds"`
	Engines  []EngineGroup                  `yaml:"engines"`
	Services []ServiceGroup                 `yaml:"services"`
}

// EngineGroup configures a group of identical engines.
type EngineGroup struct {
	Pool            pkid.PoolID          `yaml:"pool"`
	Kind            pkid.AcceleratorKind `yaml:"kind"`
	Count           int                  `yaml:"count"`
	DataCenters     []pkid.DataCenter    `yaml:"data_centers"`
	Model           pkid.ModelID         `yaml:"model"`
	Version         pkid.Version         `yaml:"version"`
	Adapters        []pkid.AdapterID     `yaml:"adapters"`
	First           pkid.Layer           `yaml:"first"`
	End             pkid.Layer           `yaml:"end"`
	EnforcesFencing bool                 `yaml:"enforces_fencing"`
}

// ServiceGroup configures a group of identical services.
type ServiceGroup struct {
	Pool           pkid.PoolID       `yaml:"pool"`
	Count          int               `yaml:"count"`
	DataCenters    []pkid.DataCenter `yaml:"data_centers"`
	ProcessingTime time.Duration     `yaml:"takes"`
	Max            int               `yaml:"max"`
}

// ParseSettings decodes and validates settings. Errors are of type pkyaml.Faults.
func ParseSettings(file string, body []byte) (Settings, error) {
	s, doc, err := pkyaml.Decode[Settings](file, body)
	if err != nil {
		return s, err
	}
	c := pkyaml.Checker{Doc: doc}
	for i, g := range s.Engines {
		_, found := s.Kinds[g.Kind]
		c.Require(found, fmt.Sprintf("kind %q is not among kinds", g.Kind), "engines", i, "kind")
		c.Require(g.Pool != "" && g.Count > 0 && len(g.DataCenters) > 0, "an engine group needs pool, count and data_centers", "engines", i)
		c.Require(g.End > g.First, "end must be above first", "engines", i)
	}
	for i, g := range s.Services {
		c.Require(g.Pool != "" && g.Count > 0 && len(g.DataCenters) > 0 && g.Max > 0, "a service group needs pool, count, data_centers and max", "services", i)
	}
	if err := c.Err(); err != nil {
		return s, err
	}
	for _, addr := range []*string{&s.Store, &s.Platform, &s.Admin} {
		if *addr == "" {
			*addr = anyPort
		}
	}
	return s, nil
}
