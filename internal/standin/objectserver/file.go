package objectserver

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"fescuebank"
)

// saved is the stand-in's state as a file.
type saved struct {
	Version fescuebank.StoreVersion `json:"version"`
	Objects []wireObject            `json:"objects"`
}

// Save writes all objects to a file.
func (p *ObjectServer) Save(path string) error {
	objects, version := p.list("")
	text, err := json.Marshal(saved{Version: version, Objects: toWire(objects)})
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Load reads the objects of a file. A file that does not exist holds none.
func (p *ObjectServer) Load(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var s saved
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = s.Version
	for _, o := range s.Objects {
		p.objects[o.Key] = fescuebank.Object(o)
	}
	return nil
}
