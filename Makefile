# Build, test, lint and run. `make check` is what CI runs.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: check build test lint run

check: lint build test

build:
	$(BUILD)

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

# Wants PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG in the environment.
run: build
	target/release/hollypaddle
