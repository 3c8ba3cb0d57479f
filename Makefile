# Build, test, lint and run. `make check` is what CI runs.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)

# One seed for the random steps of the tests, so that the verdict is the same each time.
SEED ?= 7

# How long the demonstration runs, in seconds; 0 is until it is stopped.
SECONDS ?= 20

# What `.ci/run` passes over: the tests of KNOWN-RED.txt.
PASS_OVER ?=

.PHONY: check build test lint run demo measure soak faults sites

check: lint build test

build:
	$(BUILD)

test:
	PROPTEST_RNG_SEED=$(SEED) cargo test --locked --workspace -- $(PASS_OVER)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# Wants PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG in the environment.
run: build
	target/release/hollypaddle

# The main job with nothing configured: two gatekeepers between stand-in callers and session servers.
demo: build
	cargo build --release --locked -p hollypaddle-standin
	target/release/hollypaddle-demo --seconds $(SECONDS)


# All measurements, written to docs/measurements/. Wants the machine to itself; ends with an error if what must
# hold does not.
measure: build
	cargo run --release --locked -p hollypaddle-measure -- crossings
	cargo run --release --locked -p hollypaddle-measure -- cold
	cargo run --release --locked -p hollypaddle-measure -- cores
	cargo run --release --locked -p hollypaddle-measure -- replication
	cargo run --release --locked -p hollypaddle-measure -- sites
	cargo run --release --locked -p hollypaddle-measure -- duties
	cargo build --release --locked -p hollypaddle-hollow
	cargo run --release --locked -p hollypaddle-measure -- size

# Random faults: ROUNDS scripts over real processes, and a hundred times as many in the deterministic world. A script
# that breaks an invariant is made smaller and written to target/faults.
ROUNDS ?= 10
faults: build
	cargo build --release --locked -p hollypaddle-faults
	target/release/hollypaddle-faults world --seed $(SEED) --rounds $(shell expr $(ROUNDS) \* 100)
	target/release/hollypaddle-faults tier --seed $(SEED) --rounds $(shell expr $(ROUNDS) \* 20) --leaves 750
	target/release/hollypaddle-faults real --seed $(SEED) --rounds $(ROUNDS)

# The random tests at length, and restarts, drains, upgrades and replaced servers with the release build, with a seed of the day: SEED=N repeats one.
# Takes some minutes. SIDE_BY_SIDE=1 plays the restarts one after the other.
soak: SEED = $(shell date +%s)
soak:
	@echo seed $(SEED)
	PROPTEST_RNG_SEED=$(SEED) PROPTEST_CASES=$(CASES) cargo test --locked --release \
		-p hollypaddle-core -p hollypaddle-crossing -p hollypaddle-config -p hollypaddle-platform \
		-p hollypaddle-cores
	SEED=$(SEED) RUNS=$(RESTARTS) UPGRADES=$(RESTARTS) DRAINS=$(DRAINS) REPLACEMENTS=$(REPLACEMENTS) cargo test --locked --release -p hollypaddle \
		--test restarts --test upgrades -- --nocapture

RESTARTS ?= 100
DRAINS ?= 60
REPLACEMENTS ?= 60
CASES ?= 20000

# Lays beside the project's own sites what the bench wants there, which is never committed.
KIT ?= ../given/kit
sites:
	for f in real.json wire.json unlock.txt; do install -m 644 $(KIT)/more/mass/other/$$f deploy/sites/$$f; done
