"""One owner per key, with an epoch that fences its orders."""

from thornlatch.leases._hashing import score_key
from thornlatch.leases._table import LeaseTable

__all__ = ["LeaseTable", "score_key"]
