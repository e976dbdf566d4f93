"""Tests of the adapters of upstreams."""
