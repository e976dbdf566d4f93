"""Decoding with memory gives what decoding without it gives."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from goldcreststair.components.configuration.decoding_cache import DecodingCache
from goldcreststair.components.configuration.document import decode_document, merge_patch
from tests.helpers.cores import make_document

NAMES = st.sampled_from(["acme", "busy", "calm"])
CUSTOMERS = st.dictionaries(
    NAMES,
    st.none() | st.fixed_dictionaries({"burst": st.integers(0, 3), "rate_per_s": st.just(5)}),
    max_size=3,
)
UPSTREAMS = st.dictionaries(
    st.sampled_from(["e1", "e2", "e3"]),
    st.none() | st.fixed_dictionaries({"address": st.just("127.0.0.1:1"), "data_centre": NAMES}),
    max_size=2,
)
PATCHES = st.lists(st.fixed_dictionaries({"customers": CUSTOMERS, "upstreams": UPSTREAMS}))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(PATCHES)
def test_memory_changes_no_outcome(patches: list[Any]) -> None:
    """Patches come one after another, some invalid and refused.

    A remembered entry that outlived its change would put an old limit in force under a new
    version number, on some VMs only.
    """
    memory = DecodingCache()
    document: Any = make_document(keys={})
    for version, patch in enumerate(patches):
        patched = merge_patch(document, patch)
        remembered = decode_document(version, patched, memory)
        assert remembered == decode_document(version, patched)
        if not isinstance(remembered, Err):
            document = patched


def test_untouched_entries_are_not_decoded_again() -> None:
    memory = DecodingCache()
    document = make_document()
    before = decode_document(1, document, memory).unwrap()
    patched = merge_patch(document, {"customers": {"acme": {"burst": 7}}})
    after = decode_document(2, patched, memory).unwrap()
    assert after.upstreams["e1"] is before.upstreams["e1"]
    assert after.customers["acme"].burst == 7
