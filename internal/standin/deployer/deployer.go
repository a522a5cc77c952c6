// Package deployer sets up a whole deployment on loopback: stand-ins for the
// platform, engines and services, and instances in one process.
package deployer

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
	"fescuebank/internal/standin/echoserver"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/standin/objectserver"
	"fescuebank/internal/standin/weightserver"
	"fescuebank/internal/wire/certifier"
)

// Config describes a deployment.
type Config struct {
	// Zones are the availability zones; instances and engines stand in them in turn.
	Zones []fescuebank.Zone
	// Instances and Engines are how many of each there are.
	Instances int
	Engines   int
	// Engine describes every engine but its id.
	Engine emulator.Config
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

// Deployer is a running deployment.
type Deployer struct {
	Platform     *objectserver.ObjectServer
	Engines      []*emulator.Emulator
	EngineFaults []*emulator.FaultInjector
	Service      *echoserver.EchoServer
	Instances    []*supervisor.Supervisor
	// Keys holds a key of each team.
	Keys map[fescuebank.TeamID]string
	// Operator and Password are the operators' credentials.
	Operator string
	Password string
	// Authority is the certificate of the operators' addresses, as PEM.
	Authority    []byte
	PlatformURL  string
	DesiredState fescuebank.DesiredState

	config Config
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
func New(ctx context.Context, p Config) (*Deployer, error) {
	s := &Deployer{config: p, Platform: objectserver.New(p.Clock), Keys: make(map[fescuebank.TeamID]string), Operator: operatorName}
	s.standins, s.endStandins = context.WithCancel(context.WithoutCancel(ctx))
	for _, step := range []func(context.Context) error{s.startPlatform, s.startEngines, s.restoreSecrets, s.publish, s.startInstances, s.waitReady} {
		if err := step(ctx); err != nil {
			s.endStandins()
			return nil, eris.Wrap(err, "deployer.New")
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

func (s *Deployer) startPlatform(context.Context) error {
	ctx := s.standins
	if s.config.Folder != "" {
		if err := os.MkdirAll(s.config.Folder, 0o700); err != nil {
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

func (s *Deployer) platformFile() string {
	return filepath.Join(s.config.Folder, "platform.json")
}

func (s *Deployer) saveRegularly(ctx context.Context) {
	const interval = 2 * time.Second
	for fescuebank.Sleep(ctx, s.config.Clock, interval) == nil {
		_ = s.Platform.Save(s.platformFile())
	}
}

func (s *Deployer) startEngines(context.Context) error {
	ctx := s.standins
	store := weightserver.New(weightFetches, time.Second, s.config.Clock)
	weights, err := serve(ctx, store.Handler())
	if err != nil {
		return err
	}
	for n := range s.config.Engines {
		c := s.config.Engine
		c.ID = fescuebank.EndpointID(fmt.Sprintf("worker-%02d", n+1))
		c.Models = []fescuebank.ModelName{s.config.Model}
		c.WeightsURL = weights
		c.Defaults()
		e := emulator.New(c, s.config.Clock)
		addr, faults, err := e.Serve(ctx, "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.EngineFaults = append(s.EngineFaults, faults)
		fencing := fescuebank.FencingIgnored
		if c.CheckFencing {
			fencing = fescuebank.FencingChecked
		}
		s.engine = append(s.engine, fescuebank.EndpointSpec{
			ID: c.ID, URL: "http://" + addr, Zone: s.config.Zones[n%len(s.config.Zones)], Models: c.Models, Slots: c.Slots, Fencing: fencing,
		})
	}
	return nil
}

// secrets are what a deployment with a folder keeps over restarts.
type secrets struct {
	Keys     map[fescuebank.TeamID]string `json:"keys"`
	Password string                       `json:"password"`
}

func (s *Deployer) restoreSecrets(context.Context) error {
	kept := secrets{Keys: make(map[fescuebank.TeamID]string)}
	path := filepath.Join(s.config.Folder, "secrets.json")
	if s.config.Folder != "" {
		if text, err := os.ReadFile(path); err == nil {
			if err := json.Unmarshal(text, &kept); err != nil {
				return err
			}
		}
	}
	if kept.Password == "" {
		kept.Password = fescuebank.NewRandomID("")
	}
	for _, t := range s.config.Teams {
		if kept.Keys[t.ID] == "" {
			kept.Keys[t.ID] = fescuebank.NewKey()
		}
	}
	s.Keys, s.Password = kept.Keys, kept.Password
	if s.config.Folder == "" {
		return nil
	}
	text, err := json.MarshalIndent(kept, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// publish writes the desired state with the addresses of this run.
func (s *Deployer) publish(ctx context.Context) error {
	service := echoserver.New()
	s.Service = service
	address, err := serve(s.standins, service.Handler())
	if err != nil {
		return err
	}
	store := storer.New(s.PlatformURL, "", 1000, s.config.Clock)
	segments, err := segmenter.New()
	if err != nil {
		return err
	}
	p := publisher.New(store, segments, func([]fescuebank.Object) {}, s.config.Log.Named("config"))
	_, err = p.Edit(ctx, func(d *fescuebank.DesiredState) error {
		d.Models = []fescuebank.Model{{Name: s.config.Model, Version: "v1"}}
		d.Endpoints = s.engine
		d.Services = []fescuebank.Service{
			{Name: "notes", URLs: []string{address}, Repeatable: true, Open: true},
			{Name: "berths", URLs: []string{address}},
		}
		for _, t := range s.config.Teams {
			s.addTeam(d, t)
		}
		s.DesiredState = *d
		return nil
	})
	return err
}

// addTeam adds a team with its key unless an earlier run has.
func (s *Deployer) addTeam(d *fescuebank.DesiredState, t fescuebank.Team) {
	for _, existing := range d.Teams {
		if existing.ID == t.ID {
			return
		}
	}
	t.Keys = []fescuebank.TeamKey{{Hash: fescuebank.HashKey(s.Keys[t.ID]), Label: "first key"}}
	d.Teams = append(d.Teams, t)
}

func (s *Deployer) startInstances(ctx context.Context) error {
	var err error
	if s.certs, err = certifier.New(s.config.Clock); err != nil {
		return err
	}
	s.Authority = s.certs.Authority()
	if s.config.Folder != "" {
		if err := os.WriteFile(filepath.Join(s.config.Folder, "ca.pem"), s.Authority, 0o600); err != nil {
			return err
		}
	}
	for n := range s.config.Instances {
		if err := s.startInstance(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Deployer) startInstance(ctx context.Context, n int) error {
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
		TLS: secure, Policy: s.config.Policy, Clock: s.config.Clock, Log: s.config.Log.Named(string(settings.Instance.ID)),
	})
	if err != nil {
		return err
	}
	s.Instances = append(s.Instances, v)
	s.group.Go(func() { _ = v.Run(ctx) })
	return nil
}

// settings returns the settings of instance n.
func (s *Deployer) settings(n int) (*fescuebank.Settings, error) {
	host, _, err := net.SplitHostPort(s.config.Listen)
	if err != nil {
		return nil, err
	}
	free := net.JoinHostPort(host, "0")
	var settings fescuebank.Settings
	settings.Defaults()
	settings.Instance.ID = fescuebank.InstanceID(fmt.Sprintf("entry-%02d", n+1))
	settings.Instance.Zone = s.config.Zones[n%len(s.config.Zones)]
	settings.Listen = fescuebank.ListenSettings{Callers: free, Operators: free, Peers: free}
	if n == 0 {
		settings.Listen.Callers = s.config.Listen
	}
	settings.Platform.URL = s.PlatformURL
	settings.Operators.User = s.Operator
	sum := sha256.Sum256([]byte(s.Password))
	settings.Operators.PasswordSHA256 = hex.EncodeToString(sum[:])
	if s.config.Adjust != nil {
		s.config.Adjust(&settings)
	}
	return &settings, nil
}

// readyTimeout bounds the start of a deployment.
const readyTimeout = 60 * time.Second

// waitReady waits until every instance is a member and applies the desired state.
func (s *Deployer) waitReady(ctx context.Context) error {
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
		if err := fescuebank.Sleep(ctx, s.config.Clock, 50*time.Millisecond); err != nil {
			return eris.Wrapf(err, "%d of %d instances are ready", ready, len(s.Instances))
		}
	}
}

// Wait returns once every instance has left; the stand-ins then end.
func (s *Deployer) Wait() {
	s.group.Wait()
	if s.config.Folder != "" {
		_ = s.Platform.Save(s.platformFile())
	}
	s.endStandins()
}
