#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program on the standard library alone, with the compiler that builds the
# project. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand review/stand-2/main.rs
