"""Sizes of steering."""

from typing import Final

ADDRESS_LIFETIME_S: Final = 20
"""How long callers keep an answer; a leaving VM serves at least as long."""
RATE_PER_VM: Final = 25.0
"""Requests a second of one customer that one more VM is used for."""
CENTRE_FACTOR: Final = 2.0
"""Part of a customer's VMs that one data centre gets, against an even part."""
MIN_VMS: Final = 2
"""VMs near a caller for the smallest customer, so that one may be lost."""
MAX_ADDRESSES: Final = 6
LOAD_FACTOR: Final = 1.25
LOAD_SLACK: Final = 4
"""A VM is loaded above the factor times the mean of the candidates and this many requests."""
