# Entry points for people and CI. Each target installs what is missing.
.PHONY: all setup build test lint format run faults bench sanitize soak proto clean

all: build

setup:
	@bash scripts/setup.sh

build: setup
	@bash scripts/build.sh release

lint: build
	@bash scripts/names.sh
	@bash scripts/lint.sh

test: build lint
	@bash scripts/test.sh release

format:
	@git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.' | xargs clang-format-14 -i

run: build
	@bash scripts/run.sh

# Real processes under faults: store outage, paused entry VM, replacement of
# every entry VM.
faults: build
	@bash scripts/faults.sh

# ONLY=name runs one benchmark.
bench: build
	@build/release/comfreystand bench --output build/bench $(if $(ONLY),--only $(ONLY))

sanitize: setup
	@bash scripts/build.sh sanitize
	@bash scripts/test.sh sanitize

# History tests and real processes under faults. SEEDS and FIRST set the range of
# seeds, LENGTH the seconds of faults a seed.
soak: build
	@bash scripts/soak.sh

# Regenerates the committed protobuf and gRPC code.
proto: setup
	@bash scripts/proto.sh

clean:
	rm -rf build
