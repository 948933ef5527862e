# The commands of the README.  CMake does the building.
.PHONY: all demo check bench bench-capacity bench-edges format clean

all:
	scripts/packages
	cmake -S . -B build
	cmake --build build -j

demo: all
	scripts/demo

check: all
	scripts/check

format:
	clang-format -i src/*.[ch] tests/*/*.[ch]

clean:
	rm -rf build build-sanitize

bench-edges: all
	build/tests/bench_edges build/burdockshed
