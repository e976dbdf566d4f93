"""Tests of the upstream adapters."""
