.POSIX:
.PHONY: all build demo run test race lint bench slopes experiment soak soak-own guards generate install

INTEGRATION = go test -tags integration -count=1 -timeout 15m ./integration

all: build

build:
	go build -o build/ ./cmd/...

demo: build
	timeout 60 scripts/demo

run: build
	scripts/run

# Tests of 300 boxes in virtual time take four minutes of eight idle cores, more beside work.
# Those of processes that count memory and descriptors run after all others, one at a time.
test: lint
	code=0; go test -timeout 30m ./... || code=1; $(INTEGRATION) || code=1; exit $$code

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet -tags integration ./...
	go tool staticcheck -tags integration ./...
	go tool revive -config revive.toml -set_exit_status -exclude ./wire/... ./...

generate:
	cd wire && go generate

install:
	go install ./cmd/...

experiment:
	go build -o build/ ./cmd/petrelstep-experiment
	build/petrelstep-experiment

soak: build
	timeout 600 scripts/soak

soak-own: build
	timeout 180 scripts/soak-own

guards:
	scripts/guards

slopes:
	scripts/slopes

bench:
	go test -run '^$$' -bench . ./...

race:
	go test -race ./...
