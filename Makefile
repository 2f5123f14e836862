BIN := $(CURDIR)/.bin
LINTER := $(BIN)/golangci-lint
LINTER_VERSION := v2.12.2
GOPLS := $(BIN)/gopls
GOPLS_VERSION := v0.21.0
PURE := ./connection/announcement/... ./request/attempt/... ./process/admission/... ./process/budget/... ./process/demand/... ./process/disk/... ./process/group/... \
	./process/evacuation/... ./process/fleet/... ./process/forwarding/... ./process/lease/... ./process/listening/... ./process/membership/... ./process/descriptors/... ./process/overload/... ./process/pace/... ./process/placement/... ./process/planner/... ./process/quarantine/... ./process/quorum/... ./process/reach/... ./process/reporting/... ./process/retry/... ./process/router/... \
	./process/state/... ./process/straggler/... ./version/...

# Fuzz targets as package:name. go test runs one at a time.
FUZZ := connection/httpheader:FuzzReadResponse connection/ingress:FuzzReadRequest connection/ingress:FuzzReadBody process/budget:FuzzEvents platform:FuzzReadCallerMetadata platform:FuzzReadResponseMetadata platform:FuzzReadReport \
	platform:FuzzReadDocument process/disk:FuzzDecodeFrames process/fleet:FuzzUnpackLoads process/gateway:FuzzScanEvents \
	process/quorum:FuzzStep process/state:FuzzRestore \
	request/attempt:FuzzParseFrame version/instance:FuzzParse version/settings:FuzzParse wire/codec:FuzzCheckJSON wire/codec:FuzzDecodeFrame
FUZZ_TIME := 75000x

# Tests that measure what a process uses while many callers misbehave run one at a time, apart from all others.
CROWDS := ^Test(Crowd.*|Fleet.*NeverEnd|Fleet.*NobodyReads|FleetBodyAlone|FleetConnectionsThatSendNothing|Serve.*NeverEnd|Serve.*NobodyReads)$$
# KNOWN matches the tests that are left out.
KNOWN := ^$$

.PHONY: all build test crowds race fuzz lint format tools

all: build lint test crowds

build:
	go build -o bin/ ./cmd/...

test:
	go test -timeout 30m -skip '$(CROWDS)|$(KNOWN)' ./...

crowds:
	go test -timeout 30m -count 1 -run '$(CROWDS)' -skip '$(KNOWN)' ./cmd/savorywing

race:
	go test -timeout 10m -race $(PURE)
	go test -timeout 10m -race -short ./process/formation/...

fuzz:
	for f in $(FUZZ); do \
		go test -run '^$$' -fuzz "^$${f#*:}$$" -fuzztime $(FUZZ_TIME) -fuzzminimizetime 100x -parallel 2 ./$${f%:*} || exit 1; \
	done

lint: $(LINTER)
	go vet ./...
	$(LINTER) fmt --diff
	$(LINTER) run ./...

format: $(LINTER)
	$(LINTER) fmt

$(LINTER):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)

tools: $(LINTER) $(GOPLS)

$(GOPLS):
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
