// Package deployer runs a complete deployment in one process on loopback: instances and
// emulations of the platform, of engines, of the weight store and of a service.
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
	// Zones are the availability zones. Instances and engines are distributed over
	// them round robin.
	Zones []fescuebank.Zone
	// Instances and Engines are the number of each.
	Instances int
	Engines   int
	// Engine configures every engine except for its ID, models and weight store.
	Engine emulator.Config
	Model  fescuebank.ModelName
	// Teams are the teams, without keys. Each gets one key.
	Teams []fescuebank.Team
	// Listen is the address for callers of the first instance. The others listen on
	// free ports of the same IP address.
	Listen string
	// Folder is the directory for certificates, credentials and the platform's
	// objects. If it is empty, nothing is stored.
	Folder string
	Policy fescuebank.Policy
	// Adjust, if set, changes the settings of each instance.
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
	// Keys holds one key of each team.
	Keys map[fescuebank.TeamID]string
	// Operator and Password are the operators' credentials.
	Operator string
	Password string
	// Authority is the CA certificate that signs the certificates of the operators'
	// addresses, as PEM.
	Authority    []byte
	PlatformURL  string
	DesiredState fescuebank.DesiredState

	config Config
	// standinsCtx is the context of the emulated components. They outlive the instances
	// so that the instances can leave gracefully.
	standinsCtx   context.Context
	stopStandins  context.CancelFunc
	certs         *certifier.Certifier
	group         sync.WaitGroup
	endpointSpecs []fescuebank.EndpointSpec
}

// operatorName is the user name of the deployment's operators.
const operatorName = "operator"

// weightFetchesPerSecond is the rate limit of the weight store.
const weightFetchesPerSecond = 2

// New starts a deployment and waits until every instance is ready. To stop it, cancel
// ctx and call Wait.
func New(ctx context.Context, c Config) (*Deployer, error) {
	d := &Deployer{config: c, Platform: objectserver.New(c.Clock), Keys: make(map[fescuebank.TeamID]string), Operator: operatorName}
	d.standinsCtx, d.stopStandins = context.WithCancel(context.WithoutCancel(ctx))
	for _, step := range []func(context.Context) error{d.startPlatform, d.startEngines, d.loadSecrets, d.publish, d.startInstances, d.waitReady} {
		if err := step(ctx); err != nil {
			d.stopStandins()
			return nil, eris.Wrap(err, "deployer.New")
		}
	}
	return d, nil
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

func (d *Deployer) startPlatform(context.Context) error {
	ctx := d.standinsCtx
	if d.config.Folder != "" {
		if err := os.MkdirAll(d.config.Folder, 0o700); err != nil {
			return err
		}
		if err := d.Platform.Load(d.platformFile()); err != nil {
			return err
		}
		go d.savePeriodically(ctx)
	}
	var err error
	d.PlatformURL, err = serve(ctx, d.Platform.Handler())
	return err
}

func (d *Deployer) platformFile() string {
	return filepath.Join(d.config.Folder, "platform.json")
}

func (d *Deployer) savePeriodically(ctx context.Context) {
	const interval = 2 * time.Second
	for fescuebank.Sleep(ctx, d.config.Clock, interval) == nil {
		_ = d.Platform.Save(d.platformFile())
	}
}

func (d *Deployer) startEngines(context.Context) error {
	ctx := d.standinsCtx
	store := weightserver.New(weightFetchesPerSecond, time.Second, d.config.Clock)
	weights, err := serve(ctx, store.Handler())
	if err != nil {
		return err
	}
	for n := range d.config.Engines {
		c := d.config.Engine
		c.ID = fescuebank.EndpointID(fmt.Sprintf("worker-%02d", n+1))
		c.Models = []fescuebank.ModelName{d.config.Model}
		c.WeightsURL = weights
		c.Defaults()
		e := emulator.New(c, d.config.Clock)
		addr, faults, err := e.Serve(ctx, "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
		d.EngineFaults = append(d.EngineFaults, faults)
		fencing := fescuebank.FencingIgnored
		if c.CheckFencing {
			fencing = fescuebank.FencingChecked
		}
		d.endpointSpecs = append(d.endpointSpecs, fescuebank.EndpointSpec{
			ID: c.ID, URL: "http://" + addr, Zone: d.config.Zones[n%len(d.config.Zones)], Models: c.Models, Slots: c.Slots, Fencing: fencing,
		})
	}
	return nil
}

// secrets are the credentials that a deployment with a folder keeps across restarts.
type secrets struct {
	Keys     map[fescuebank.TeamID]string `json:"keys"`
	Password string                       `json:"password"`
}

func (d *Deployer) loadSecrets(context.Context) error {
	stored := secrets{Keys: make(map[fescuebank.TeamID]string)}
	path := filepath.Join(d.config.Folder, "secrets.json")
	if d.config.Folder != "" {
		if text, err := os.ReadFile(path); err == nil {
			if err := json.Unmarshal(text, &stored); err != nil {
				return err
			}
		}
	}
	if stored.Password == "" {
		stored.Password = fescuebank.NewRandomID("")
	}
	for _, t := range d.config.Teams {
		if stored.Keys[t.ID] == "" {
			stored.Keys[t.ID] = fescuebank.NewKey()
		}
	}
	d.Keys, d.Password = stored.Keys, stored.Password
	if d.config.Folder == "" {
		return nil
	}
	text, err := json.MarshalIndent(stored, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// publish writes the desired state with the current addresses of the engines and
// the service.
func (d *Deployer) publish(ctx context.Context) error {
	service := echoserver.New()
	d.Service = service
	address, err := serve(d.standinsCtx, service.Handler())
	if err != nil {
		return err
	}
	store := storer.New(d.PlatformURL, "", 1000, d.config.Clock)
	segments, err := segmenter.New()
	if err != nil {
		return err
	}
	p := publisher.New(store, segments, func([]fescuebank.Object) {}, d.config.Log.Named("config"))
	_, err = p.Edit(ctx, func(state *fescuebank.DesiredState) error {
		state.Models = []fescuebank.Model{{Name: d.config.Model, Version: "v1"}}
		state.Endpoints = d.endpointSpecs
		state.Services = []fescuebank.Service{
			{Name: "notes", URLs: []string{address}, Repeatable: true, Open: true},
			{Name: "berths", URLs: []string{address}},
		}
		for _, t := range d.config.Teams {
			d.addTeam(state, t)
		}
		d.DesiredState = *state
		return nil
	})
	return err
}

// addTeam adds a team with its key unless the stored desired state contains it.
func (d *Deployer) addTeam(state *fescuebank.DesiredState, t fescuebank.Team) {
	for _, existing := range state.Teams {
		if existing.ID == t.ID {
			return
		}
	}
	t.Keys = []fescuebank.TeamKey{{Hash: fescuebank.HashKey(d.Keys[t.ID]), Label: "first key"}}
	state.Teams = append(state.Teams, t)
}

func (d *Deployer) startInstances(ctx context.Context) error {
	var err error
	if d.certs, err = certifier.New(d.config.Clock); err != nil {
		return err
	}
	d.Authority = d.certs.Authority()
	if d.config.Folder != "" {
		if err := os.WriteFile(filepath.Join(d.config.Folder, "ca.pem"), d.Authority, 0o600); err != nil {
			return err
		}
	}
	for n := range d.config.Instances {
		if err := d.startInstance(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployer) startInstance(ctx context.Context, n int) error {
	settings, err := d.settings(n)
	if err != nil {
		return err
	}
	cert, key, err := d.certs.Issue(net.ParseIP("127.0.0.1"))
	if err != nil {
		return err
	}
	tlsConfig, err := certifier.Config(d.Authority, cert, key)
	if err != nil {
		return err
	}
	v, err := supervisor.New(settings, supervisor.Options{
		TLS: tlsConfig, Policy: d.config.Policy, Clock: d.config.Clock,
		Log: d.config.Log.Named(string(settings.Instance.ID)),
	})
	if err != nil {
		return err
	}
	d.Instances = append(d.Instances, v)
	d.group.Go(func() { _ = v.Run(ctx) })
	return nil
}

// settings returns the settings of instance n.
func (d *Deployer) settings(n int) (*fescuebank.Settings, error) {
	host, _, err := net.SplitHostPort(d.config.Listen)
	if err != nil {
		return nil, err
	}
	free := net.JoinHostPort(host, "0")
	var settings fescuebank.Settings
	settings.Defaults()
	settings.Instance.ID = fescuebank.InstanceID(fmt.Sprintf("entry-%02d", n+1))
	settings.Instance.Zone = d.config.Zones[n%len(d.config.Zones)]
	settings.Listen = fescuebank.ListenSettings{Callers: free, Operators: free, Peers: free}
	if n == 0 {
		settings.Listen.Callers = d.config.Listen
	}
	settings.Platform.URL = d.PlatformURL
	settings.Operators.User = d.Operator
	sum := sha256.Sum256([]byte(d.Password))
	settings.Operators.PasswordSHA256 = hex.EncodeToString(sum[:])
	if d.config.Adjust != nil {
		d.config.Adjust(&settings)
	}
	return &settings, nil
}

// readyTimeout limits how long New waits for the instances.
const readyTimeout = 60 * time.Second

// waitReady waits until every instance has applied the desired state, counts all
// instances as members and owns a shard.
func (d *Deployer) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := 0
		for _, v := range d.Instances {
			status := v.Status()
			if status.Generation > 0 && v.MemberCount() == len(d.Instances) && status.OwnedShards > 0 {
				ready++
			}
		}
		if ready == len(d.Instances) {
			return nil
		}
		if err := fescuebank.Sleep(ctx, d.config.Clock, 50*time.Millisecond); err != nil {
			return eris.Wrapf(err, "%d of %d instances are ready", ready, len(d.Instances))
		}
	}
}

// Wait waits until every instance has left, then saves the platform's objects and
// stops the emulated components.
func (d *Deployer) Wait() {
	d.group.Wait()
	if d.config.Folder != "" {
		_ = d.Platform.Save(d.platformFile())
	}
	d.stopStandins()
}
