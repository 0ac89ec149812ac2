package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"github.com/agatestep/agatestep/internal/service"
)

// Guards against mistakes that are accepted, or reported without their line,
// field or rule.
func TestParse(t *testing.T) {
	paths, _ := filepath.Glob("testdata/parse/*.txtar")
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			got, want := "", ""
			for _, f := range archive.Files {
				if f.Name == "want" {
					want = string(f.Data)
				} else if _, err := Parse(f.Name, f.Data); err != nil {
					got += err.Error() + "\n"
				}
			}
			if got != want {
				t.Errorf("problems:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against defaults that differ from the design page, and against
// relative paths that are resolved against the daemon's working directory.
func TestLoadAppliesDefaultsAndResolvesPaths(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile("testdata/parse/valid.txtar")
	is.NoErr(err)
	content := string(archive.Files[0].Data)
	folder := t.TempDir()
	path := filepath.Join(folder, "a.yaml")
	is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.DataFolder, filepath.Join(folder, "data"))
	is.Equal(s.Timing, Timing{25 * time.Millisecond, 12, 24, time.Second, 200 * time.Millisecond, time.Second,
		200 * time.Millisecond, 0.01, 500 * time.Millisecond})
	is.Equal(s.Timing.ElectionTimeoutMin(), 300*time.Millisecond)
	is.Equal(s.Timing.ElectionTimeoutMax(), 600*time.Millisecond)
	is.Equal(s.Region, "default")
	is.Equal(s.Shutdown.Timeout, 30*time.Second)

	content = strings.Replace(content, "insecure: true", "token_file: token", 1)
	is.NoErr(os.WriteFile(filepath.Join(folder, "token"), []byte("secret\n"), 0o600))
	is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	_, err = Load(path)
	is.NoErr(err)
	content = strings.Replace(content, "mode: off", "mode: mutual, cert_file: none, key_file: none, ca_file: token", 1)
	is.NoErr(os.WriteFile(filepath.Join(folder, "token"), nil, 0o600))
	is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	_, err = Load(path)
	for _, want := range []string{"a.yaml:6: tls.cert_file: must be a PEM", "a.yaml:6: tls.ca_file: must hold PEM",
		"a.yaml:7: admin.token_file: must not be empty"} {
		is.True(err != nil && strings.Contains(err.Error(), want))
	}
	_, err = Load(filepath.Join(folder, "none.yaml"))
	is.True(err != nil && strings.Contains(err.Error(), "reading settings"))
}

// Guards against example settings that the daemon rejects, and example service
// files that cannot be published.
func TestExamplesAreValid(t *testing.T) {
	for deployment, dataCentres := range map[string]int{"kolkhida": 3, "cermin": 4} {
		is := is.New(t)
		root := filepath.Join("..", "..", "examples", deployment)
		hosts, _ := filepath.Glob(filepath.Join(root, "hosts", "*.yaml"))
		is.Equal(len(hosts), 9)
		addresses, seenDataCentres, replicas := map[string]bool{}, map[string]bool{}, 0
		var control Control
		for i, path := range hosts {
			s, err := Load(path)
			is.NoErr(err)
			if i == 0 {
				control = s.Control
			}
			is.Equal(s.Control, control)
			for _, a := range []string{s.Listen.Traffic, s.Listen.Backends, s.Listen.Peer, s.Listen.Relay, s.Listen.Admin} {
				is.True(strings.HasPrefix(a, "127.") && !addresses[a])
				addresses[a] = true
			}
			seenDataCentres[s.DataCentre] = true
			if s.IsReplica() {
				replicas++
			}
		}
		is.Equal(len(seenDataCentres), dataCentres)
		is.Equal(replicas, 3)
		var files []service.SourceFile
		paths, _ := filepath.Glob(filepath.Join(root, "services", "*.yaml"))
		for _, path := range paths {
			content, err := os.ReadFile(path)
			is.NoErr(err)
			files = append(files, service.SourceFile{Name: path, Content: string(content)})
		}
		set, problems := service.CheckSet(files)
		is.Equal(len(problems), 0)
		is.Equal(len(set.Files), 2)
	}
}

// Guards against panics on malformed settings files.
func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob("testdata/parse/*.txtar")
	for _, path := range paths {
		archive, _ := txtar.ParseFile(path)
		for _, file := range archive.Files {
			f.Add(file.Data)
		}
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		if s, err := Parse("f.yaml", content); (s == nil) == (err == nil) {
			t.Errorf("settings %v with error %v", s, err)
		}
	})
}
