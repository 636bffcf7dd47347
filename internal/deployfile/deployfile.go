// Package deployfile reads a deployment from a TOML or JSON file that follows
// the operators' schema.
package deployfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/protojson"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// Read reads a deployment from a file. A file with the extension .toml is TOML
// with the keys of the schema's JSON encoding, and any other is JSON.
func Read(file string) (*pb.Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if filepath.Ext(file) == ".toml" {
		if data, err = toJSON(data); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	deployment := &pb.Deployment{}
	if err := protojson.Unmarshal(data, deployment); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return deployment, nil
}

func toJSON(data []byte) ([]byte, error) {
	var values map[string]any
	if err := toml.NewDecoder(bytes.NewReader(data)).Decode(&values); err != nil {
		return nil, err
	}
	return json.Marshal(values)
}
