"""Requests of this host that wait for the outcome of an idempotency key."""

from dataclasses import dataclass

from thornlatch.requests._claim_fold import ClaimKey


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request of this host that waits for the outcome of its key."""

    ticket: str
    key: ClaimKey
    body_digest: str
    wall_offset: float
    deadline: float


class Waiters:
    """Holds waiting requests by ticket and by key, in the order of their arrival."""

    def __init__(self) -> None:
        self.by_key: dict[ClaimKey, list[Waiter]] = {}
        self.by_ticket: dict[str, Waiter] = {}

    def __len__(self) -> int:
        return len(self.by_ticket)

    def __contains__(self, key: ClaimKey) -> bool:
        return key in self.by_key

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self.by_ticket[waiter.ticket] = waiter
        self.by_key.setdefault(waiter.key, []).append(waiter)

    def get(self, key: ClaimKey) -> list[Waiter]:
        """Return a copy of the requests that wait for `key`."""
        return list(self.by_key.get(key, ()))

    def get_keys(self) -> list[ClaimKey]:
        """Return a copy of the keys that are waited for."""
        return list(self.by_key)

    def remove(self, ticket: str) -> Waiter | None:
        """Remove and return a request if it waits, else return None."""
        waiter = self.by_ticket.pop(ticket, None)
        if waiter is not None:
            self.by_key[waiter.key].remove(waiter)
            if not self.by_key[waiter.key]:
                del self.by_key[waiter.key]
        return waiter
