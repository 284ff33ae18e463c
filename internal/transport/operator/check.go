package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"bluebellcrank/internal/protocol/platform"
	"bluebellcrank/internal/state/config"
	"bluebellcrank/internal/state/configcheck"
	adapter "bluebellcrank/platform"
)

// Version is one version of the configuration: that of the product's own interface, which
// consists of files, or that of the users' platform.
type Version struct {
	name  string
	files []config.File
	// platform is the configuration of the users' platform; platformErr is its error. Both
	// are nil for files of the product's own interface.
	platform    *adapter.ConfigFile
	platformErr error
}

// Name returns the paths or the revision of the version.
func (v Version) Name() string { return v.name }

// IsOfPlatform reports whether the version is a configuration of the users' platform.
func (v Version) IsOfPlatform() bool { return v.platform != nil || v.platformErr != nil }

// Check validates and returns the configuration in a folder. The error lists every
// problem found.
func Check(folder string) (*config.Config, error) {
	files, err := config.ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	return config.NewBuilder().Build(config.Head{}, files)
}

// ReadVersion reads the files at some paths; a folder stands for its .yaml files. Files
// are merged in the order of their names without the folders, as those of one folder. A
// single .json file is a configuration of the users' platform.
func ReadVersion(paths []string) (Version, error) {
	out := Version{name: paths[0]}
	if slices.ContainsFunc(paths, isJSON) {
		if len(paths) > 1 {
			return Version{}, errors.New("a configuration in JSON is a single file")
		}
		content, err := os.ReadFile(paths[0])
		if err != nil {
			return Version{}, err
		}
		out.platform, out.platformErr = adapter.ParseConfigFile(filepath.Base(paths[0]), content)
		return out, nil
	}
	if len(paths) > 1 {
		out.name = fmt.Sprintf("%s and %d more", paths[0], len(paths)-1)
	}
	pathByName := map[string]string{}
	for _, path := range paths {
		files, err := readPath(path)
		if err != nil {
			return Version{}, err
		}
		for _, f := range files {
			if other, found := pathByName[f.Name]; found {
				return Version{}, fmt.Errorf("%s and %s both have a file %s; the files of a configuration have different names", other, path, f.Name)
			}
			pathByName[f.Name] = path
			out.files = append(out.files, f)
		}
	}
	return out, nil
}

func isJSON(path string) bool { return strings.HasSuffix(path, ".json") }

func readPath(path string) ([]config.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return config.ReadFolder(path)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return []config.File{{Name: filepath.Base(path), Content: content}}, nil
}

// ReadVersionInForce reads the version in force from the platform's object store.
func ReadVersionInForce(client *platform.Client) (Version, error) {
	head, _, err := ReadHead(client)
	if err != nil {
		return Version{}, err
	}
	if head.Revision == 0 {
		return Version{}, errNoConfiguration
	}
	files, err := readFiles(client, head)
	if err != nil {
		return Version{}, err
	}
	return Version{name: fmt.Sprintf("revision %d", head.Revision), files: files}, nil
}

// ReadPlatformVersionInForce reads the version in force from the store of the users'
// platform at host:port.
func ReadPlatformVersionInForce(ctx context.Context, address string) (Version, error) {
	c, err := adapter.NewStore(address).ConfigInForce(ctx)
	if err != nil {
		return Version{}, err
	}
	return Version{name: fmt.Sprintf("version %d", c.Config().Table.Version()), platform: c}, nil
}

// CheckReport is what a check found in one version, compared with another one or not.
type CheckReport struct {
	findings    []configcheck.Finding
	differences []configcheck.Difference
}

// Findings returns the problems of the version.
func (r CheckReport) Findings() []configcheck.Finding { return r.findings }

// Differences returns what clients notice if the version replaces the other one. There
// are none if the version has errors.
func (r CheckReport) Differences() []configcheck.Difference { return r.differences }

// IsEmpty reports whether nothing was found.
func (r CheckReport) IsEmpty() bool { return len(r.findings) == 0 && len(r.differences) == 0 }

// CheckVersion checks a version and compares it with another one, which may be nil. It
// returns an error if the two cannot be compared. entryMemoryMB is the memory of the
// smallest entry of the users' platform; 0 if it is not known.
func CheckVersion(v Version, against *Version, entryMemoryMB int) (CheckReport, error) {
	if against != nil && against.IsOfPlatform() != v.IsOfPlatform() {
		return CheckReport{}, fmt.Errorf("cannot compare with %s, which is in the other format", against.name)
	}
	if v.IsOfPlatform() {
		return checkPlatformVersion(v, against, entryMemoryMB)
	}
	conf, findings := configcheck.CheckFiles(v.files)
	report := CheckReport{findings: findings}
	if against == nil {
		return report, nil
	}
	other, err := config.NewBuilder().Build(config.Head{}, against.files)
	if err != nil {
		return CheckReport{}, against.invalid(err)
	}
	if conf != nil {
		report.differences = configcheck.CompareFiles(other, conf)
	}
	return report, nil
}

func checkPlatformVersion(v Version, against *Version, entryMemoryMB int) (CheckReport, error) {
	if against != nil && against.platformErr != nil {
		return CheckReport{}, against.invalid(against.platformErr)
	}
	if v.platformErr != nil {
		return CheckReport{findings: configcheck.Errors(v.platformErr)}, nil
	}
	report := CheckReport{findings: configcheck.CheckTable(v.platform.Config(), v.platform.Positions(), entryMemoryMB)}
	if against != nil {
		report.differences = configcheck.CompareTables(against.platform.Config(), v.platform.Config())
	}
	return report, nil
}

// invalid returns the error that nothing can be compared with the version.
func (v Version) invalid(err error) error {
	return fmt.Errorf("cannot compare with %s, which is invalid:\n%w", v.name, err)
}
