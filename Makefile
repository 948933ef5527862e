# The commands of the README.  CMake does the building.
.PHONY: all demo check bench bench-capacity bench-decisions bench-edges format \
  clean proof-pairs

all:
	scripts/packages
	cmake -S . -B build
	cmake --build build -j

demo: all
	scripts/demo

check: all
	scripts/check

bench: all
	scripts/bench

bench-decisions: all
	scripts/bench-decisions

# Every pair of faults over SEEDS seeds; minutes.
proof-pairs: all
	scripts/proof-pairs

format:
	clang-format -i src/*.[ch] platform/*.[ch] tests/*/*.[ch]

clean:
	rm -rf build build-sanitize

bench-edges: all
	build/tests/bench_edges build/burdockshed

bench-capacity: all
	scripts/bench-capacity
