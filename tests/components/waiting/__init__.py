"""Tests of the waiting component."""
