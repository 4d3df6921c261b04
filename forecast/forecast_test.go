package forecast_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"petrelstep/forecast"
	"petrelstep/outputlen/survival"
)

func need(prompt, tokens, length int) forecast.Need {
	return forecast.Need{Prompt: prompt, Tokens: tokens, MaxTokens: 32768, Curve: survival.Known(length)}
}

// TestPeak checks forecasts of known lengths.
func TestPeak(t *testing.T) {
	tests := map[string]struct {
		needs []forecast.Need
		peak  float64
	}{
		"nothing":               {nil, 0},
		"one, ends soon":        {[]forecast.Need{need(100, 0, 10)}, 100},
		"one, grows":            {[]forecast.Need{need(100, 0, 200)}, 100 + 192},
		"two, one ends":         {[]forecast.Need{need(100, 0, 100), need(100, 0, 2000)}, 100 + 1024},
		"two grow together":     {[]forecast.Need{need(100, 0, 500), need(100, 0, 500)}, 2 * (100 + 448)},
		"bounded by max tokens": {[]forecast.Need{{Prompt: 100, MaxTokens: 60, Curve: survival.Known(5000)}}, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(forecast.New(tt.needs).Peak(2, 0), tt.peak)
			is.True(forecast.New(tt.needs).Peak(2, 100) >= tt.peak) // with extra variance
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{5, 15, 60} {
		b.Run(fmt.Sprint(n, " generations"), func(b *testing.B) {
			var needs []forecast.Need
			for i := range n {
				var hazards [survival.Ranges]float64
				for r := range hazards {
					hazards[r] = 0.2
				}
				needs = append(needs, forecast.Need{Prompt: 1000, Tokens: 100 * i, MaxTokens: 32768, Curve: survival.New(hazards)})
			}
			b.ReportAllocs()
			for b.Loop() {
				forecast.New(needs).Peak(1.6, 0)
			}
		})
	}
}
