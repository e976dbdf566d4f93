"""Converts members, items and loads to Thrift structs and back."""

from typing import Any

from goldcreststair.components.membership.loads import Load
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.membership.shared_sets import Item
from goldcreststair.components.membership.table import Record
from goldcreststair.wire.generated.membership.ttypes import LoadEntry, MemberRecord, SetItem


def pack_record(record: Record) -> Any:
    """Return the struct of a record."""
    member = record.member
    if member is None:
        return MemberRecord(record.session_id, record.version, True)
    return MemberRecord(
        record.session_id,
        record.version,
        False,
        member.address,
        member.http_port,
        member.peer_port,
        member.data_centre,
        member.region,
        member.state.value,
        member.slot,
    )


def unpack_record(struct: Any) -> Record:
    """Return the record of a struct."""
    if struct.gone:
        return Record(struct.session_id, struct.version, None)
    member = Member(
        struct.session_id,
        struct.address,
        struct.http_port,
        struct.peer_port,
        struct.data_centre,
        struct.region,
        MemberState(struct.state),
        struct.slot,
    )
    return Record(struct.session_id, struct.version, member)


def pack_item(item: Item) -> Any:
    """Return the struct of an item."""
    return SetItem(item.set_name, item.text, item.lifetime_ms)


def unpack_item(struct: Any) -> Item:
    """Return the item of a struct."""
    return Item(struct.set_name, struct.item, struct.lifetime_ms)


def pack_load(load: Load) -> Any:
    """Return the struct of a load."""
    return LoadEntry(load.slot, load.in_flight, load.round)


def unpack_load(struct: Any) -> Load:
    """Return the load of a struct."""
    return Load(struct.slot, struct.in_flight, struct.round)
