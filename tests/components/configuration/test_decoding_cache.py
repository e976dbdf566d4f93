"""Decoding with a cache has the same result as decoding without it."""

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
def test_cache_changes_no_outcome(patches: list[Any]) -> None:
    """Patches are applied one after another, some of them invalid and refused.

    A cached entry that was kept after its change would apply an old limit under a new version
    number, and only on some VMs.
    """
    cache = DecodingCache()
    document: Any = make_document(keys={})
    for version, patch in enumerate(patches):
        patched = merge_patch(document, patch)
        cached = decode_document(version, patched, cache)
        assert cached == decode_document(version, patched)
        if not isinstance(cached, Err):
            document = patched


def test_untouched_entries_are_not_decoded_again() -> None:
    cache = DecodingCache()
    document = make_document()
    before = decode_document(1, document, cache).unwrap()
    patched = merge_patch(document, {"customers": {"acme": {"burst": 7}}})
    after = decode_document(2, patched, cache).unwrap()
    assert after.upstreams["e1"] is before.upstreams["e1"]
    assert after.customers["acme"].burst == 7
