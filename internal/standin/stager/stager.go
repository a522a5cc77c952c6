// Package stager sets up a whole deployment on loopback: stand-ins for the
// platform, engines and services, and instances in one process.
package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/config/publisher"
	"fescuebank/internal/config/segmenter"
	"fescuebank/internal/operate/supervisor"
	"fescuebank/internal/platform/storer"
	"fescuebank/internal/standin/engineer"
	"fescuebank/internal/standin/platformer"
	"fescuebank/internal/standin/servicer"
	"fescuebank/internal/standin/weigher"
	"fescuebank/internal/wire/certifier"
)

// Plan describes a deployment.
type Plan struct {
	// Zones are the availability zones; instances and engines stand in them in turn.
	Zones []fescuebank.Zone
	// Instances and Engines are how many of each there are.
	Instances int
	Engines   int
	// Engine describes every engine but its id.
	Engine engineer.Config
	Model  fescuebank.ModelName
	// Teams are the teams without keys; each gets one.
	Teams []fescuebank.Team
	// Listen is the callers' address of the first instance; the others take free
	// ports of the same IP address.
	Listen string
	// Folder keeps certificates, credentials and the platform's objects. It may
	// be empty.
	Folder string
	Policy fescuebank.Policy
	// Adjust changes the settings of each instance.
	Adjust func(*fescuebank.Settings)
	Clock  fescuebank.Clock
	Log    hclog.Logger
}

// Stager is a running deployment.
type Stager struct {
	Platform  *platformer.Platformer
	Engines   []*engineer.Engineer
	Faults    []*engineer.Faults
	Service   *servicer.Servicer
	Instances []*supervisor.Supervisor
	// Keys holds a key of each team.
	Keys map[fescuebank.TeamID]string
	// Operator and Password are the operators' credentials.
	Operator string
	Password string
	// Authority is the certificate of the operators' addresses, as PEM.
	Authority   []byte
	PlatformURL string
	State       fescuebank.DesiredState

	plan Plan
	// standins outlive the instances, so that these can leave gracefully.
	standins    context.Context
	endStandins context.CancelFunc
	certs       *certifier.Certifier
	group       sync.WaitGroup
	engine      []fescuebank.EndpointSpec
}

// operatorName is the user name of the deployment's operators.
const operatorName = "operator"

// weightFetches is how many weight fetches start a second.
const weightFetches = 2

// New starts everything and waits until each instance has read the desired
// state. Stop ends it.
func New(ctx context.Context, p Plan) (*Stager, error) {
	s := &Stager{plan: p, Platform: platformer.New(p.Clock), Keys: make(map[fescuebank.TeamID]string), Operator: operatorName}
	s.standins, s.endStandins = context.WithCancel(context.WithoutCancel(ctx))
	for _, step := range []func(context.Context) error{s.startPlatform, s.startEngines, s.restoreSecrets, s.publish, s.startInstances, s.waitReady} {
		if err := step(ctx); err != nil {
			s.endStandins()
			return nil, eris.Wrap(err, "stager.New")
		}
	}
	return s, nil
}

// serve serves a handler on a free loopback port until ctx ends.
func serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return "http://" + l.Addr().String(), nil
}

func (s *Stager) startPlatform(context.Context) error {
	ctx := s.standins
	if s.plan.Folder != "" {
		if err := os.MkdirAll(s.plan.Folder, 0o700); err != nil {
			return err
		}
		if err := s.Platform.Load(s.platformFile()); err != nil {
			return err
		}
		go s.saveRegularly(ctx)
	}
	var err error
	s.PlatformURL, err = serve(ctx, s.Platform.Handler())
	return err
}

func (s *Stager) platformFile() string {
	return filepath.Join(s.plan.Folder, "platform.json")
}

func (s *Stager) saveRegularly(ctx context.Context) {
	const interval = 2 * time.Second
	for fescuebank.Sleep(ctx, s.plan.Clock, interval) == nil {
		_ = s.Platform.Save(s.platformFile())
	}
}

func (s *Stager) startEngines(context.Context) error {
	ctx := s.standins
	store := weigher.New(weightFetches, time.Second, s.plan.Clock)
	weights, err := serve(ctx, store.Handler())
	if err != nil {
		return err
	}
	for n := range s.plan.Engines {
		c := s.plan.Engine
		c.ID = fescuebank.EndpointID(fmt.Sprintf("worker-%02d", n+1))
		c.Models = []fescuebank.ModelName{s.plan.Model}
		c.WeightsURL = weights
		c.Defaults()
		e := engineer.New(c, s.plan.Clock)
		addr, faults, err := e.Serve(ctx, "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.Faults = append(s.Faults, faults)
		fencing := fescuebank.FencingIgnored
		if c.CheckFencing {
			fencing = fescuebank.FencingChecked
		}
		s.engine = append(s.engine, fescuebank.EndpointSpec{
			ID: c.ID, URL: "http://" + addr, Zone: s.plan.Zones[n%len(s.plan.Zones)], Models: c.Models, Slots: c.Slots, Fencing: fencing,
		})
	}
	return nil
}

// secrets are what a deployment with a folder keeps over restarts.
type secrets struct {
	Keys     map[fescuebank.TeamID]string `json:"keys"`
	Password string                       `json:"password"`
}

func (s *Stager) restoreSecrets(context.Context) error {
	kept := secrets{Keys: make(map[fescuebank.TeamID]string)}
	path := filepath.Join(s.plan.Folder, "secrets.json")
	if s.plan.Folder != "" {
		if text, err := os.ReadFile(path); err == nil {
			if err := json.Unmarshal(text, &kept); err != nil {
				return err
			}
		}
	}
	if kept.Password == "" {
		kept.Password = fescuebank.NewRandomID("")
	}
	for _, t := range s.plan.Teams {
		if kept.Keys[t.ID] == "" {
			kept.Keys[t.ID] = fescuebank.NewKey()
		}
	}
	s.Keys, s.Password = kept.Keys, kept.Password
	if s.plan.Folder == "" {
		return nil
	}
	text, err := json.MarshalIndent(kept, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// publish writes the desired state with the addresses of this run.
func (s *Stager) publish(ctx context.Context) error {
	service := servicer.New()
	s.Service = service
	address, err := serve(s.standins, service.Handler())
	if err != nil {
		return err
	}
	store := storer.New(s.PlatformURL, "", 1000, s.plan.Clock)
	segments, err := segmenter.New()
	if err != nil {
		return err
	}
	p := publisher.New(store, segments, func([]fescuebank.Object) {}, s.plan.Log.Named("config"))
	_, err = p.Edit(ctx, func(d *fescuebank.DesiredState) error {
		d.Models = []fescuebank.Model{{Name: s.plan.Model, Version: "v1"}}
		d.Endpoints = s.engine
		d.Services = []fescuebank.Service{
			{Name: "notes", URLs: []string{address}, Repeatable: true, Open: true},
			{Name: "berths", URLs: []string{address}},
		}
		for _, t := range s.plan.Teams {
			s.addTeam(d, t)
		}
		s.State = *d
		return nil
	})
	return err
}

// addTeam adds a team with its key unless an earlier run has.
func (s *Stager) addTeam(d *fescuebank.DesiredState, t fescuebank.Team) {
	for _, existing := range d.Teams {
		if existing.ID == t.ID {
			return
		}
	}
	t.Keys = []fescuebank.TeamKey{{Hash: fescuebank.HashKey(s.Keys[t.ID]), Label: "first key"}}
	d.Teams = append(d.Teams, t)
}

func (s *Stager) startInstances(ctx context.Context) error {
	var err error
	if s.certs, err = certifier.New(s.plan.Clock); err != nil {
		return err
	}
	s.Authority = s.certs.Authority()
	if s.plan.Folder != "" {
		if err := os.WriteFile(filepath.Join(s.plan.Folder, "ca.pem"), s.Authority, 0o600); err != nil {
			return err
		}
	}
	for n := range s.plan.Instances {
		if err := s.startInstance(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stager) startInstance(ctx context.Context, n int) error {
	settings, err := s.settings(n)
	if err != nil {
		return err
	}
	cert, key, err := s.certs.Issue(net.ParseIP("127.0.0.1"))
	if err != nil {
		return err
	}
	secure, err := certifier.Config(s.Authority, cert, key)
	if err != nil {
		return err
	}
	v, err := supervisor.New(settings, supervisor.Options{
		TLS: secure, Policy: s.plan.Policy, Clock: s.plan.Clock, Log: s.plan.Log.Named(string(settings.Instance.ID)),
	})
	if err != nil {
		return err
	}
	s.Instances = append(s.Instances, v)
	s.group.Go(func() { _ = v.Run(ctx) })
	return nil
}

// settings returns the settings of instance n.
func (s *Stager) settings(n int) (*fescuebank.Settings, error) {
	host, _, err := net.SplitHostPort(s.plan.Listen)
	if err != nil {
		return nil, err
	}
	free := net.JoinHostPort(host, "0")
	var settings fescuebank.Settings
	settings.Defaults()
	settings.Instance.ID = fescuebank.InstanceID(fmt.Sprintf("entry-%02d", n+1))
	settings.Instance.Zone = s.plan.Zones[n%len(s.plan.Zones)]
	settings.Listen = fescuebank.ListenSettings{Callers: free, Operators: free, Peers: free}
	if n == 0 {
		settings.Listen.Callers = s.plan.Listen
	}
	settings.Platform.URL = s.PlatformURL
	settings.Operators.User = s.Operator
	sum := sha256.Sum256([]byte(s.Password))
	settings.Operators.PasswordSHA256 = hex.EncodeToString(sum[:])
	if s.plan.Adjust != nil {
		s.plan.Adjust(&settings)
	}
	return &settings, nil
}

// readyTimeout bounds the start of a deployment.
const readyTimeout = 60 * time.Second

// waitReady waits until every instance is a member and applies the desired state.
func (s *Stager) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := 0
		for _, v := range s.Instances {
			status := v.Status()
			if status.Generation > 0 && v.MemberCount() == len(s.Instances) && status.OwnedShards > 0 {
				ready++
			}
		}
		if ready == len(s.Instances) {
			return nil
		}
		if err := fescuebank.Sleep(ctx, s.plan.Clock, 50*time.Millisecond); err != nil {
			return eris.Wrapf(err, "%d of %d instances are ready", ready, len(s.Instances))
		}
	}
}

// Wait returns once every instance has left; the stand-ins then end.
func (s *Stager) Wait() {
	s.group.Wait()
	if s.plan.Folder != "" {
		_ = s.Platform.Save(s.platformFile())
	}
	s.endStandins()
}
