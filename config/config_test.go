package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/config"
)

const valid = `{"box":"b1","hall":"leith","listen":{"callers":"127.0.0.1:1","admin":"127.0.0.1:2","peers":"127.0.0.1:3"},
"platform":{"address":"127.0.0.1:4"},"request_key":"0123456789abcdef0123456789abcdef"`

func TestNew(t *testing.T) {
	tests := map[string]struct {
		in     string
		places []string
	}{
		"valid":                         {valid + "}", nil},
		"limits set":                    {valid + `,"limits":{"streams":5}}`, nil},
		"fractional numbers":            {valid + `,"edge":{"ready":"127.0.0.1:5","key_age_ms":4500.5,"stop_s":7.5,"leave_ms":1999.9,"retry_slack":35.8,"memory_mb":88.5}}`, nil},
		"unknown field":                 {valid + `,"colour":"red"}`, []string{"colour"}},
		"several mistakes":              {`{"box":"B!","hall":7}`, []string{"/box", "/hall", "listen", "platform", "request_key"}},
		"same address":                  {strings.Replace(valid, "127.0.0.1:2", "127.0.0.1:1", 1) + "}", []string{"/listen"}},
		"short lease":                   {valid + `,"lease_ms":3000}`, []string{"/lease_ms"}},
		"TLS certificate without a key": {valid + `,"tls":{"certificate":"/nowhere"}}`, []string{"/tls: certificate and key", "/tls: stat"}},
		"not JSON":                      {`{"box"`, []string{"not JSON"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(tt.in), 0o600))
			c, err := config.New(file)
			is.Equal(err != nil, tt.places != nil)
			if err == nil {
				is.True(c.Limits.BodyBytes == 1<<20) // a default within a section that is present
				is.Equal(c.CellSize, 16)
				return
			}
			var e *config.Error
			is.True(errors.As(err, &e))
			for _, place := range tt.places {
				is.True(strings.Contains(err.Error(), place))
			}
		})
	}
}

// TestStopTime checks which setting bounds the duration of a planned stop.
func TestStopTime(t *testing.T) {
	tests := map[string]struct {
		settings string
		want     time.Duration
	}{
		"no edge section":         {``, 9 * time.Second},
		"stop_s not set":          {`,"edge":{"ready":"127.0.0.1:5"}`, 9 * time.Second},
		"stop_s in whole seconds": {`,"edge":{"ready":"127.0.0.1:5","stop_s":8}`, 8 * time.Second},
		"fractional stop_s":       {`,"edge":{"ready":"127.0.0.1:5","stop_s":7.25}`, 7250 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(valid+`,"drain_ms":9000`+tt.settings+"}"), 0o600))
			c, err := config.New(file)
			is.NoErr(err)
			is.Equal(c.StopTime(), tt.want)
		})
	}
}
