#!/bin/sh
# Builds the stand-ins of the second review, after the build line of deploy/balancer.toml. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review/testdata/standins-2 && go build -buildvcs=false -o ../../../bin/review-2 .)
# The package that plays of the project's own fleet run; it is the project's own example.
go build -buildvcs=false -o bin/payroll ./examples/payroll
