package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/retry"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := retry.New()
	spent := 0
	for b.Spend() {
		spent++
	}
	is.Equal(spent, 20)
	for range 9 {
		b.Succeeded()
	}
	is.True(!b.Spend()) // nine successes earn less than one retry
	b.Succeeded()
	b.Succeeded()
	is.True(b.Spend())
	is.True(!b.Spend())
}

func TestWaits(t *testing.T) {
	is := is.New(t)
	w := retry.Waits()
	for range 20 {
		d := w.NextBackOff()
		is.True(d >= 0 && d <= 2*time.Second)
	}
}

func BenchmarkSpend(b *testing.B) {
	budget := retry.New()
	for b.Loop() {
		budget.Succeeded()
		budget.Spend()
	}
}

// TestResize lowers and raises the limit of a budget.
func TestResize(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(1, 8)
	b.Resize(2)
	is.True(b.Spend())
	is.True(b.Spend())
	is.True(!b.Spend())
	b.Resize(4)
	is.True(!b.Spend()) // raising the limit adds no retries
	for range 9 {
		b.Succeeded()
	}
	for range 4 {
		is.True(b.Spend())
	}
	is.True(!b.Spend())
}
