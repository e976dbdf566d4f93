"""Constants of steering."""

from typing import Final

ADDRESS_LIFETIME_S: Final = 20
"""How long callers keep a response; a leaving VM serves at least as long."""
RATE_PER_VM: Final = 25.0
"""Requests per second of a customer for each of which one more VM is used."""
DATA_CENTRE_FACTOR: Final = 2.0
"""Share of a customer's VMs that one data centre gets, relative to an even share."""
MIN_VMS: Final = 2
"""VMs near a caller even for the smallest customer, so that one of them may be lost."""
MAX_ADDRESSES: Final = 6
LOAD_FACTOR: Final = 1.25
LOAD_SLACK: Final = 4
"""A VM is loaded if its requests exceed `LOAD_FACTOR` times the candidates' mean plus this."""
