package server

import (
	"net"

	"github.com/rotisserie/eris"

	"fescuebank"
)

// listeners are the addresses of an instance other than the one for peers. They are opened
// before the instance starts, so that a taken address is an error of the start.
type listeners struct {
	// callers, ready and addresses are nil on instances without the entry role, and metrics
	// if no address is set for it.
	callers, ready, addresses, metrics net.Listener
}

// openListeners opens the addresses of the settings, all or none, and replaces port 0 in the
// settings by the ports that the system assigned.
func openListeners(settings *fescuebank.Settings) (*listeners, error) {
	l := &listeners{}
	for _, wanted := range []struct {
		open     bool
		addr     *string
		listener *net.Listener
	}{
		{settings.Roles.Entry, &settings.Listen.Callers, &l.callers},
		{settings.Roles.Entry, &settings.Listen.Ready, &l.ready},
		{settings.Roles.Entry, &settings.Listen.Addresses, &l.addresses},
		{settings.Listen.Metrics != "", &settings.Listen.Metrics, &l.metrics},
	} {
		if !wanted.open {
			continue
		}
		opened, err := net.Listen("tcp", *wanted.addr)
		if err != nil {
			l.close()
			return nil, eris.Wrap(err, "openListeners")
		}
		*wanted.listener, *wanted.addr = opened, opened.Addr().String()
	}
	return l, nil
}

// close closes all open listeners.
func (l *listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.ready, l.addresses, l.metrics} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}
