#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the entry daemon: stand-ins, clients and checks in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-case ./review/_case
