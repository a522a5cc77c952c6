package objectserver

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"fescuebank"
)

// savedState is the content of the file that holds the objects.
type savedState struct {
	Version fescuebank.StoreVersion `json:"version"`
	Objects []wireObject            `json:"objects"`
}

// Save writes all objects to a file.
func (s *ObjectServer) Save(path string) error {
	objects, version := s.list("")
	text, err := json.Marshal(savedState{Version: version, Objects: toWire(objects)})
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Load reads the objects from a file. A missing file is treated as empty.
func (s *ObjectServer) Load(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var state savedState
	if err := json.Unmarshal(text, &state); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = state.Version
	for _, o := range state.Objects {
		s.objects[o.Key] = fescuebank.Object(o)
	}
	return nil
}
