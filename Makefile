# Build, test, lint and run. `make check` is what CI runs.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)

# One seed for the random steps of the tests, so that the verdict is the same each time.
SEED ?= 7

.PHONY: check build test lint run

check: lint build test

build:
	$(BUILD)

test:
	PROPTEST_RNG_SEED=$(SEED) cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# Wants PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG in the environment.
run: build
	target/release/hollypaddle
