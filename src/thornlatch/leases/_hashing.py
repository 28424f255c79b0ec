"""Rendezvous hashing, with equal results in all processes."""

import hashlib


def score_key(key: str, host: str) -> int:
    """Return the score of `host` for `key`; the host with the highest one owns it.

    Parameters
    ----------
    key : str
        Lease key, such as ``pool:llm``.
    host : str
        Host id.

    Returns
    -------
    int
        Unsigned, 64 bits.
    """
    data = f"{len(key)}:{key}{host}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
