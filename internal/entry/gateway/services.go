package gateway

import (
	"net/http"

	"fescuebank"
	"fescuebank/internal/entry/authenticator"
	"fescuebank/internal/entry/forwarder"
)

// serveService forwards a call to a plain service.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	service, ok := g.Source.Current().Services[fescuebank.ServiceName(r.PathValue("service"))]
	if !ok {
		g.errorWriter.Write(w, "", fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such service"))
		return
	}
	next := func(w http.ResponseWriter, r *http.Request, c *call) error { return g.forward(w, r, c, service) }
	if _, hasKey := authenticator.KeyOf(r); !service.Open || hasKey {
		g.authenticated(g.rateLimited(next))(w, r)
		return
	}
	defer g.Drainer.Enter()()
	c := &call{id: g.assignID(w)}
	g.serve(w, r, c, next)
}

func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, c *call, service *fescuebank.Service) error {
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	request := &forwarder.Call{Service: service, Path: "/" + r.PathValue("path"), Request: r, Body: body, ID: c.id, IsKey: g.isValidKey}
	if c.caller.Team != nil {
		request.Team = c.caller.Team.ID
	}
	resp, err := g.Forwarder.Forward(r.Context(), request)
	if c.caller.Team != nil {
		g.Observer.RequestEnded(c.caller.Team.ID, err)
	}
	if err != nil {
		return err
	}
	defer resp.Release()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
	return nil
}

// isValidKey reports whether text is a key in force.
func (g *Gateway) isValidKey(text string) bool {
	return g.Authenticator.IsValid(fescuebank.HashKey(text))
}
