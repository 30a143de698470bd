"""Benches; `make bench` runs them all."""
