"""Fingerprints that identify a forwarded request when its caller sends it again."""

import hashlib

FINGERPRINT_BYTES = 8


def make_call_fingerprint(customer: str, method: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request by its customer, method, target and body, without its id.

    >>> make_call_fingerprint("a", "POST", "/x", b"1") == make_call_fingerprint("a", "POST", "/x", b"1")
    True
    >>> make_call_fingerprint("a", "POST", "/x", b"1") == make_call_fingerprint("b", "POST", "/x", b"1")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (customer.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
