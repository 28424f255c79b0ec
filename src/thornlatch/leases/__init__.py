"""Leases: one owner per key, with an epoch that fences the owner's orders."""

from thornlatch.leases._hashing import score_key
from thornlatch.leases._table import LeaseTable

__all__ = ["LeaseTable", "score_key"]
