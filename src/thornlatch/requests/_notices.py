"""Notices to peers, sent again until each peer has acknowledged."""

from dataclasses import dataclass

from thornlatch.core import Action, Send
from thornlatch.requests._quarantine_records import SuspectNotice


@dataclass
class _Unseen:
    notice: SuspectNotice
    peers: set[str]
    due: float
    attempts: int = 0


class NoticeSender:
    """Sends notices at least once to peers that answer.

    Parameters
    ----------
    retry_s : float
        Seconds between two attempts.
    attempts : int
        Attempts for a silent peer; the log tells it later.
    """

    def __init__(self, *, retry_s: float, attempts: int) -> None:
        self.retry_s = retry_s
        self.attempts = attempts
        self.unseen: dict[int, _Unseen] = {}

    def send(
        self, notice: SuspectNotice, peers: set[str], *, now: float
    ) -> list[Action]:
        """Begin to send a notice."""
        if not peers:
            return []
        self.unseen[notice.notice] = _Unseen(notice, peers, now)
        return self.tick(now=now)

    def note_seen(self, notice: int, peer: str) -> None:
        """Note an acknowledgement."""
        unseen = self.unseen.get(notice)
        if unseen is None:
            return
        unseen.peers.discard(peer)
        if not unseen.peers:
            del self.unseen[notice]

    def tick(self, *, now: float) -> list[Action]:
        """Send what is due."""
        actions: list[Action] = []
        for number, unseen in list(self.unseen.items()):
            if unseen.due > now:
                continue
            if unseen.attempts >= self.attempts:
                del self.unseen[number]
                continue
            unseen.attempts += 1
            unseen.due = now + self.retry_s
            actions += [Send(peer, unseen.notice) for peer in sorted(unseen.peers)]
        return actions
