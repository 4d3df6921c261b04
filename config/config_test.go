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
	"petrelstep/wire"
)

const right = `{"box":"b1","hall":"leith","listen":{"callers":"127.0.0.1:1","admin":"127.0.0.1:2","peers":"127.0.0.1:3"},
"platform":{"address":"127.0.0.1:4"},"request_key":"0123456789abcdef0123456789abcdef"`

func TestNew(t *testing.T) {
	tests := map[string]struct {
		in     string
		places []string
	}{
		"right":                            {right + "}", nil},
		"limits given":                     {right + `,"limits":{"streams":5}}`, nil},
		"bounds that are no whole numbers": {right + `,"edge":{"ready":"127.0.0.1:5","key_age_ms":4500.5,"stop_s":7.5,"leave_ms":1999.9,"retry_slack":35.8,"memory_mb":88.5}}`, nil},
		"unknown field":                    {right + `,"colour":"red"}`, []string{"colour"}},
		"many mistakes":                    {`{"box":"B!","hall":7}`, []string{"/box", "/hall", "listen", "platform", "request_key"}},
		"same address":                     {strings.Replace(right, "127.0.0.1:2", "127.0.0.1:1", 1) + "}", []string{"/listen"}},
		"short lease":                      {right + `,"lease_ms":3000}`, []string{"/lease_ms"}},
		"half of TLS":                      {right + `,"tls":{"certificate":"/nowhere"}}`, []string{"/tls: certificate and key", "/tls: stat"}},
		"not JSON":                         {`{"box"`, []string{"not JSON"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(tt.in), 0o600))
			c, err := config.New(file)
			is.Equal(err != nil, tt.places != nil)
			if err == nil {
				is.True(c.Limits.BodyBytes == 1<<20) // defaults also within a section
				is.Equal(c.CellSize, 16)
				return
			}
			var e *config.Error
			is.True(errors.As(err, &e))
			for _, part := range tt.places {
				is.True(strings.Contains(err.Error(), part))
			}
		})
	}
}

// TestStopTime shows which setting says how long a planned stop may take.
func TestStopTime(t *testing.T) {
	tests := map[string]struct {
		more string
		want time.Duration
	}{
		"no section":      {``, 9 * time.Second},
		"not in seconds":  {`,"edge":{"ready":"127.0.0.1:5"}`, 9 * time.Second},
		"in seconds":      {`,"edge":{"ready":"127.0.0.1:5","stop_s":8}`, 8 * time.Second},
		"parts of second": {`,"edge":{"ready":"127.0.0.1:5","stop_s":7.25}`, 7250 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(right+`,"drain_ms":9000`+tt.more+"}"), 0o600))
			c, err := config.New(file)
			is.NoErr(err)
			is.Equal(c.StopTime(), tt.want)
		})
	}
}

// TestBalances shows which parts of the decisions under load are on.
func TestBalances(t *testing.T) {
	tests := map[string]struct {
		edge *wire.Edge
		want bool
	}{
		"no edge":   {nil, false},
		"none":      {&wire.Edge{}, false},
		"another":   {&wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemSpeeds}}, false},
		"this part": {&wire.Edge{Balance: []wire.EdgeBalanceElem{wire.EdgeBalanceElemSpeeds, wire.EdgeBalanceElemShares}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := config.Config{Settings: wire.Settings{Edge: tt.edge}}
			is.New(t).Equal(c.Balances(wire.EdgeBalanceElemShares), tt.want)
		})
	}
}
