package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Settings are the static settings of an instance.
type Settings struct {
	// Instance is the identifier of this instance. It must stay the same across
	// restarts.
	Instance model.InstanceID `yaml:"instance"`
	// Zone is the availability zone of this instance.
	Zone model.Zone `yaml:"zone"`
	// Listen is the IP address and port for callers, upstreams and operators.
	Listen string `yaml:"listen"`
	// PeerListen is the IP address and port for connections from other instances.
	PeerListen string `yaml:"peer_listen"`
	// Peers are addresses of other instances, to which this instance connects in
	// order to join the deployment.
	Peers []string `yaml:"peers"`
	// Data is the path of the data folder; empty on instances without a disk.
	Data string `yaml:"data"`
	// ControlGroup lists the instances that keep the replicated log. The list must
	// be the same on every instance, and each listed instance needs a data folder.
	ControlGroup []model.InstanceID `yaml:"control_group"`
	// Tokens grant access to the administration API. Without tokens, the API
	// accepts every request on a loopback listener and none on other listeners.
	Tokens []Token `yaml:"admin_tokens"`
	// Bootstrap is the first dynamic configuration of a new deployment.
	Bootstrap *Bootstrap `yaml:"bootstrap"`
	// RecordedEvents is how many of the latest events are kept for a replay.
	// The settings key is record_events.
	RecordedEvents int `yaml:"record_events"`
	// MemoryMB is the memory that the process may use, in megabytes (10^6 bytes), 0 for
	// that of the machine. A share of it bounds what is held for requests.
	MemoryMB int `yaml:"memory_mb"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
}

// Bootstrap is the first dynamic configuration.
type Bootstrap struct {
	Zones    []Zone        `yaml:"zones"`
	Roster   []RosterEntry `yaml:"roster"`
	Profiles []Profile     `yaml:"profiles"`
	Services []Service     `yaml:"services"`
	Links    []Link        `yaml:"links"`
}

// Zone assigns an availability zone to a region.
type Zone struct {
	Zone   model.Zone   `yaml:"zone"`
	Region model.Region `yaml:"region"`
}

// RosterEntry is an instance of the deployment and its zone.
type RosterEntry struct {
	ID   model.InstanceID `yaml:"id"`
	Zone model.Zone       `yaml:"zone"`
}

// Profile is a steering profile; model.Profile describes the fields.
type Profile struct {
	Name              string            `yaml:"name"`
	Class             string            `yaml:"class"`
	Repeat            model.RetryPolicy `yaml:"repeat"`
	MaxAttempts       int               `yaml:"max_attempts"`
	Hedge             bool              `yaml:"hedge"`
	Deadline          Duration          `yaml:"deadline"`
	QueueLimit        int               `yaml:"queue_limit"`
	IdempotentMethods []string          `yaml:"idempotent_methods"`
	Spill             string            `yaml:"spill"`
}

// Service binds a service to a profile.
type Service struct {
	Name    model.ServiceName `yaml:"name"`
	Profile string            `yaml:"profile"`
}

// Link is the bandwidth budget between two regions, in each direction.
type Link struct {
	A    model.Region `yaml:"a"`
	B    model.Region `yaml:"b"`
	Rate Rate         `yaml:"rate"`
}

const (
	// DefaultRecordedEvents and DefaultLogLevel apply if a settings file lacks the
	// key record_events or log_level.
	DefaultRecordedEvents = 100_000
	DefaultLogLevel       = "info"
	// maxRecordedEvents limits the memory used for recorded events.
	maxRecordedEvents = 10_000_000
	// minMemoryMB and maxMemoryMB are the limits of memory_mb.
	minMemoryMB = 32
	maxMemoryMB = 16 << 20
	// bytesPerMegabyte converts memory_mb to bytes.
	bytesPerMegabyte = 1_000_000
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks settings. Errors contain the name of the file.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{RecordedEvents: DefaultRecordedEvents, LogLevel: DefaultLogLevel}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField())
	if err := dec.Decode(s); err != nil {
		return nil, decodeError(file, err)
	}
	if key, err := s.check(); err != nil {
		return nil, &KeyError{File: file, Line: lineOf(data, key), Key: key, Err: err}
	}
	return s, nil
}

// KeyError is an error in one key of a settings file, with its line.
type KeyError struct {
	File string
	Line int
	Key  string
	Err  error
}

// Error implements the error interface.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Key, e.Err)
}

// Unwrap returns the error without the file, line and key.
func (e *KeyError) Unwrap() error { return e.Err }

// decodeError adds the file, line and key to an error of the YAML decoder.
func decodeError(file string, err error) error {
	var key *KeyError
	if errors.As(err, &key) {
		key.File = file
		return key
	}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		tok := yamlErr.GetToken()
		return &KeyError{File: file, Line: tok.Position.Line, Key: tok.Value, Err: errors.New(yamlErr.GetMessage())}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// lineOf returns the line of a key such as "peers[1]". For a missing key it
// returns the line of the closest enclosing key, or 1.
func lineOf(data []byte, key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.ReadNode(bytes.NewReader(data)); err == nil {
				return node.GetToken().Position.Line
			}
		}
		i := strings.LastIndexAny(key, ".[")
		key = key[:max(i, 0)]
	}
	return 1
}

// MemoryBytes returns the memory that the process may use in bytes, 0 for that of the
// machine.
func (s *Settings) MemoryBytes() int64 { return int64(s.MemoryMB) * bytesPerMegabyte }

// check validates all settings. It returns the error of the first invalid value
// and its settings key.
func (s *Settings) check() (string, error) {
	switch {
	case s.Instance == "" || len(s.Instance) > model.MaxNameLength:
		return "instance", fmt.Errorf("must have 1 to %d characters", model.MaxNameLength)
	case s.Zone == "" || len(s.Zone) > model.MaxNameLength || strings.Contains(string(s.Zone), "."):
		return "zone", fmt.Errorf("must have 1 to %d characters and no dot", model.MaxNameLength)
	case s.RecordedEvents < 0 || s.RecordedEvents > maxRecordedEvents:
		return "record_events", fmt.Errorf("%d is not in 0 to %d", s.RecordedEvents, maxRecordedEvents)
	case s.MemoryMB != 0 && s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB:
		return "memory_mb", fmt.Errorf("%d is neither 0 nor in %d to %d", s.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if err := checkAddress(s.Listen); err != nil {
		return "listen", err
	}
	if err := checkAddress(s.PeerListen); err != nil {
		return "peer_listen", err
	}
	for i, p := range s.Peers {
		if err := checkAddress(p); err != nil {
			return fmt.Sprintf("peers[%d]", i), err
		}
	}
	if key, err := s.checkControlGroup(); err != nil {
		return key, err
	}
	if key, err := s.checkTokens(); err != nil {
		return key, err
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return "log_level", fmt.Errorf("%q is not debug, info, warn or error", s.LogLevel)
	}
	if s.Bootstrap != nil {
		c := s.Bootstrap.Config()
		var field *model.FieldError
		if err := c.Validate(); errors.As(err, &field) {
			return "bootstrap." + field.Path, field.Err
		}
	}
	return "", nil
}

// checkAddress returns an error unless the address is an IP address with a port.
// Instances address each other by IP, so host names are rejected.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not IP:PORT", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q has no IP address", address)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return fmt.Errorf("%q has no valid port", address)
	}
	return nil
}

// Config returns the bootstrap settings as a dynamic configuration of version 1.
func (b *Bootstrap) Config() model.Config {
	c := model.Config{Version: 1}
	for _, z := range b.Zones {
		c.Zones = append(c.Zones, model.ZoneInfo{Zone: z.Zone, Region: z.Region})
	}
	for _, m := range b.Roster {
		c.Roster = append(c.Roster, model.RosterEntry{ID: m.ID, Zone: m.Zone})
	}
	for _, p := range b.Profiles {
		c.Profiles = append(c.Profiles, model.Profile{
			Name: p.Name, Class: p.Class, Repeat: p.Repeat, MaxAttempts: p.MaxAttempts, Hedge: p.Hedge,
			DeadlineMs: p.Deadline.Duration().Milliseconds(), QueueLimit: p.QueueLimit,
			IdempotentMethods: p.IdempotentMethods, Spill: p.Spill,
		})
	}
	for _, service := range b.Services {
		c.Services = append(c.Services, model.Service{Name: service.Name, Profile: service.Profile})
	}
	for _, l := range b.Links {
		c.Links = append(c.Links, model.Link{A: l.A, B: l.B, BytesPerSecond: int64(l.Rate)})
	}
	return c
}
