# build, test, lint; demo shows the main job; check plays all the testbed's days.
.PHONY: build test lint demo check

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 -v ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml ./...

demo: build
	bin/pineport-testbed demo

check: build
	bin/pineport-testbed check
