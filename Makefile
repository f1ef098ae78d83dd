# make run: build, and run a whole small deployment in one process.
# make test: build, and run all checks and tests.

GO ?= go
# The tests of these packages run thousands of schedules in virtual time, each on one
# goroutine. The race detector would take minutes for them and find nothing.
PLAIN = ./pkg/command/sharer ./pkg/query/splitter ./internal/simulator
# Runs alone, after the others: it measures the memory of processes.
ALONE = ./platform/crowd
# Beside load, its more than a hundred crowds may take longer than the default of 10 minutes.
ALONE_TIMEOUT = 30m
RACED = $(shell $(GO) list ./... | grep -vE '(pkg/command/sharer|pkg/query/splitter|internal/simulator|platform/crowd)$$')

.PHONY: build run test check unit known-red bench fuzz clean

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	bin/hemlockport try $(ARGS)

test: build check unit known-red

check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) mod verify
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	scripts/platform-names
	bin/hemlockport check examples/thimblegate/objects
	bin/hemlockport check examples/esmaltes/objects

unit:
	$(GO) test -count=1 -skip "$$(scripts/known-red pattern)" $(PLAIN)
	$(GO) test -race -count=1 -skip "$$(scripts/known-red pattern)" $(RACED)
	$(GO) test -count=1 -timeout $(ALONE_TIMEOUT) -skip "$$(scripts/known-red pattern)" $(ALONE)

known-red:
	@GO=$(GO) scripts/known-red run

# Benchmarks report counts and ratios. Their times hold only for the machine that ran them.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Runs each fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	@$(GO) list ./... | while read -r package; do \
		for target in $$($(GO) test -list '^Fuzz' "$$package" | grep '^Fuzz'); do \
			$(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) "$$package" || exit 1; \
		done; \
	done

clean:
	rm -rf bin
