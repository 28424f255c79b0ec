"""Notices to peers, with retries until each peer has acknowledged."""

from dataclasses import dataclass

from thornlatch.core import Action, Send
from thornlatch.requests._quarantine_records import SuspectNotice


@dataclass
class _PendingNotice:
    notice: SuspectNotice
    peers: set[str]
    due: float
    attempts: int = 0


class NoticeSender:
    """Sends notices until they are acknowledged or the attempts are used up.

    Parameters
    ----------
    retry_s : float
        Seconds between two attempts.
    attempts : int
        Attempts for a peer that doesn't answer; it learns of the suspects from the log.
    """

    def __init__(self, *, retry_s: float, attempts: int) -> None:
        self.retry_s = retry_s
        self.attempts = attempts
        self.pending: dict[int, _PendingNotice] = {}

    def send(
        self, notice: SuspectNotice, peers: set[str], *, now: float
    ) -> list[Action]:
        """Send a notice and retry until all peers have acknowledged it."""
        if not peers:
            return []
        self.pending[notice.notice] = _PendingNotice(notice, peers, now)
        return self.tick(now=now)

    def acknowledge(self, notice: int, peer: str) -> None:
        """Record a peer's acknowledgement."""
        pending = self.pending.get(notice)
        if pending is None:
            return
        pending.peers.discard(peer)
        if not pending.peers:
            del self.pending[notice]

    def tick(self, *, now: float) -> list[Action]:
        """Send the notices that are due."""
        actions: list[Action] = []
        for number, pending in list(self.pending.items()):
            if pending.due > now:
                continue
            if pending.attempts >= self.attempts:
                del self.pending[number]
                continue
            pending.attempts += 1
            pending.due = now + self.retry_s
            actions += [Send(peer, pending.notice) for peer in sorted(pending.peers)]
        return actions
