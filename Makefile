# The front door: make demo, make test, make prove.

GO ?= go
LINT_VERSION := v2.15.0
LINT := $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

.PHONY: build demo test check lint unit process prove bench fuzz

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/mulberryhead-demo --binaries bin

test: check lint unit process

check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...

lint:
	$(LINT) run ./...

unit:
	$(GO) test -count=1 ./cmd/... ./internal/... ./pkg/...
