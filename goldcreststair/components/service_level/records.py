"""A customer's history in the ledger: one recent record, and one record per hour."""

from goldcreststair.components.ledger.protocols import Change, Partition
from goldcreststair.components.service_level.const import KEY_HOURS, KEY_PREFIX, KEY_RECENT
from goldcreststair.components.service_level.history import CustomerHistory, decode_records


def make_key(customer: str) -> str:
    """Return the key that selects a customer's partition and is the prefix of all its records."""
    return f"{KEY_PREFIX}{customer}/"


def load_history(partition: Partition, customer: str) -> CustomerHistory:
    """Return a customer's history, empty if there is none."""
    recent = partition.get(make_key(customer) + KEY_RECENT)
    if recent is None:
        return CustomerHistory()
    return decode_records(recent, _read_hours(partition, customer))


def make_changes(partition: Partition, customer: str, history: CustomerHistory) -> list[Change]:
    """Return only the records changed by a report.

    A commit with all hours of a month would not fit into the head row.
    """
    prefix = make_key(customer)
    changes = [Change(prefix + KEY_RECENT, history.encode_recent())]
    stored = _read_hours(partition, customer)
    for hour in history.hours:
        encoded = history.encode_hour(hour)
        if stored.get(hour) != encoded:
            changes.append(Change(_make_hour_key(customer, hour), encoded))
    pruned = stored.keys() - history.hours.keys()
    changes.extend(Change(_make_hour_key(customer, hour), None) for hour in sorted(pruned))
    return changes


def _make_hour_key(customer: str, hour: int) -> str:
    return f"{make_key(customer)}{KEY_HOURS}{hour}"


def _read_hours(partition: Partition, customer: str) -> dict[int, bytes]:
    prefix = make_key(customer) + KEY_HOURS
    return {int(key.removeprefix(prefix)): value for key, value in partition.scan(prefix)}
