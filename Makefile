# build, test, lint and run; `make run CONFIG=FILE` starts one node.
PYTHON = .venv/bin/python

.PHONY: build test lint run check clean sites

build:
	sh deploy/venv dev

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

check: build
	$(PYTHON) -m caperdeck check $(if $(CONFIG),--config=$(CONFIG))

run: build
	$(PYTHON) -m caperdeck serve $(if $(CONFIG),--config=$(CONFIG))

# the companions that the operators' bench wants beside a site file; KIT is the folder of their kit
sites:
	cp $(KIT)/more/mass/other/real.json $(KIT)/more/mass/other/wire.json $(KIT)/more/mass/other/unlock.txt deploy/sites/
	chmod u+w deploy/sites/*

clean:
	rm -rf .venv .pytest_cache .ruff_cache
