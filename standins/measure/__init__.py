"""Measurements; each module is one name of `script/measure`."""
