# Go and make are all that these targets need.
MODULES := fleet entry oper platform trial
PACKAGES := $(MODULES:%=./%/...)
BIN := bin

.PHONY: all build demo check static format vet lint test bench measure tidy clean

all: build

build:
	go build -o $(BIN)/ ./entry/cmd/carawayd ./oper/cmd/caraway ./trial/cmd/trial ./platform/cmd/carawaymux

# The main job in separate processes on loopback.
demo: build
	$(BIN)/trial tour --bin $(BIN)
	$(BIN)/trial demo --bin $(BIN)

# Everything that must hold before a change lands.
check: static test

# What is checked without running the code.
static: format vet lint

format:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

vet:
	go vet $(PACKAGES)

lint:
	go tool staticcheck $(PACKAGES)

# The users' four measures: JSON lines on standard output, a table on standard error,
# pictures in out/.
measure: build
	$(BIN)/trial measure --bin $(BIN) --out out

# Timings live here and never decide about a change.
bench:
	go test -run NONE -bench . -benchtime 1s ./fleet/ledger ./fleet/query ./fleet/shard ./trial/bench

# The tests of hostile clients measure the memory of processes, so they run after the others and one at a time.
test: build
	@status=0; \
	go test -count=1 $$(go list $(PACKAGES) | grep -v '/trial/crowd$$') || status=1; \
	go test -count=1 -p 1 -parallel 1 -timeout 20m ./trial/crowd || status=1; \
	exit $$status

clean:
	rm -rf $(BIN) out
