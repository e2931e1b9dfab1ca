# demo:  builds and runs the jobs of both example deployments end to end.
# check: builds and runs the formatter check, the linter and all tests.
# bench: runs the benchmarks whose figures docs/ quotes.
# All of these first install missing packages.
.PHONY: demo check bench build deployment install lint format tests sanitize soak

JOBS := $(shell nproc)
STEPS ?= 20000000

install:
	@tools/install.sh

build: install
	@cmake --preset release > build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
	@rm -f build-configure.log
	@cmake --build --preset release -- -j $(JOBS)

sanitize: install
	@cmake --preset sanitize > /dev/null
	@cmake --build --preset sanitize -- -j $(JOBS)

format:
	@tools/format.sh

lint: build
	@tools/lint.sh build/release

tests: build sanitize
	@tools/run_tests.sh

# Builds the node with the options of the platform's own build. Its optimisation
# level can produce warnings that the release preset does not.
deployment: install
	@cmake -S . -B build/deployment -G Ninja -DCMAKE_BUILD_TYPE=Release \
	  -DJAYPICK_ONLY_NODE=ON > /dev/null
	@cmake --build build/deployment --target jaypick-node -- -j $(JOBS)

check: build deployment
	@tools/format.sh --check
	@tools/lint.sh build/release
	@$(MAKE) --no-print-directory tests

demo: build
	@examples/demo.sh build/release

bench: build
	@build/release/jaypick-bench
	@bench/entry_cost.sh build/release
	@bench/control_traffic.sh build/release

soak: build
	@build/release/jaypick-soak --seed=$(SEED) --steps=$(STEPS)
