// Package loader reads the objects that operators declare from files.
package loader

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/declarer"
)

// Load reads one file, or all files of a folder whose names end in .toml, into one
// document. An error in a file names the file.
func Load(path string) (declarer.Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return declarer.Document{}, err
	}
	files := []string{path}
	if info.IsDir() {
		files, err = filepath.Glob(filepath.Join(path, "*.toml"))
		if err != nil {
			return declarer.Document{}, err
		}
		slices.Sort(files)
	}
	if len(files) == 0 {
		return declarer.Document{}, eris.Errorf("%s: no file whose name ends in .toml", path)
	}
	var document declarer.Document
	for _, file := range files {
		loaded, err := loadFile(file)
		if err != nil {
			return declarer.Document{}, eris.Wrap(err, file)
		}
		document = document.WithDocument(loaded)
	}
	return document, nil
}

func loadFile(name string) (declarer.Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return declarer.Document{}, err
	}
	return encoder.TOML[declarer.Document]{}.Decode(data)
}
