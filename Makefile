LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# Tests listed in KNOWN-RED.txt as "test: NAME" are passed over and printed.
RED  := $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
SKIP := $(if $(RED),-skip '^($(RED))$$')

.PHONY: build test soak lint generate capacity

build:
	go build -o yuccaport .

test:
	@sed -n '/^test:/s/^/known red, passed over: /p' KNOWN-RED.txt
	go test -count=1 -timeout 20m $(SKIP) ./...

# Random faults on real processes, for example: make soak SEED=7 MINUTES=2 AGENTS=20; with planned
# work alone: make soak SOAK=TestSoakPlanned; a saturated site: make soak SOAK=TestSoakSite AGENTS=10
SOAK    ?= TestSoak
SEED    ?= 1
MINUTES ?= 1
AGENTS  ?= 5
soak:
	YUCCAPORT_SOAK_SEED=$(SEED) YUCCAPORT_SOAK_TIME=$(MINUTES)m YUCCAPORT_SOAK_AGENTS=$(AGENTS) go test -count=1 -timeout 0 -v -run '^$(SOAK)$$' ./platform

lint:
	test -z "$$(gofmt -l main.go src platform)"
	$(LINT) run --allow-parallel-runners ./...

generate:
	go generate ./...

# Takes about ten minutes and up to 200 daemons in one process; prints the tables of docs/CAPACITY.md.
capacity: build
	./yuccaport bench capacity --profile fast
	./yuccaport bench capacity --profile thrifty --sizes 100,200 --rates 0.5
	./yuccaport bench route --rate 55 --duration 20s --json
	./yuccaport bench route --rate 550 --duration 20s --json
