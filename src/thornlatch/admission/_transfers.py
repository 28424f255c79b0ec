"""Moves of shares that take effect exactly once, or never if a new round starts."""

from dataclasses import dataclass

from thornlatch.admission._messages import Lane, ShareMove
from thornlatch.admission._shares import Share
from thornlatch.core import Action, Send


@dataclass(frozen=True)
class RoundId:
    """Fencing number: identifies an inventory round of one ownership.

    Parameters
    ----------
    epoch : int
    round_number : int
    """

    epoch: int = -1
    round_number: int = 0

    def is_after(self, other: "RoundId") -> bool:
        """Return whether this round is later than `other`."""
        return (self.epoch, self.round_number) > (other.epoch, other.round_number)

    def matches(self, message: object) -> bool:
        """Return whether `message` belongs to this round."""
        return self == RoundId(
            getattr(message, "epoch", -1), getattr(message, "round_number", -1)
        )


@dataclass(frozen=True)
class PendingMove:
    """A move that its recipient has not acknowledged yet.

    Parameters
    ----------
    move : ShareMove
    sent_at : float
        Seconds.
    """

    move: ShareMove
    sent_at: float


class Outbox:
    """Sends moves until they are acknowledged, one at a time per recipient and lane.

    Parameters
    ----------
    key : str
    retry_s : float
        Seconds after which a move is sent again.
    """

    def __init__(self, key: str, retry_s: float) -> None:
        self.key = key
        self.retry_s = retry_s
        self.numbers: dict[tuple[Lane, str], int] = {}
        self.pending: dict[tuple[Lane, str], PendingMove] = {}

    def is_free(self, lane: Lane, recipient: str) -> bool:
        """Return whether the recipient has acknowledged all earlier moves."""
        return (lane, recipient) not in self.pending

    def send(
        self,
        round_id: RoundId,
        lane: Lane,
        recipient: str,
        share: Share,
        level: int,
        *,
        now: float,
    ) -> Send:
        """Send a share that the holder has given up."""
        channel = (lane, recipient)
        number = self.numbers.get(channel, 0) + 1
        self.numbers[channel] = number
        move = ShareMove(
            self.key, round_id.epoch, round_id.round_number, lane, number, share, level
        )
        self.pending[channel] = PendingMove(move, now)
        return Send(recipient, move)

    def accept(self, lane: Lane, recipient: str, number: int) -> ShareMove | None:
        """Remove an acknowledged move; return it if it was pending."""
        pending = self.pending.get((lane, recipient))
        if pending is None or pending.move.number != number:
            return None
        del self.pending[lane, recipient]
        return pending.move

    def resend(self, *, now: float) -> list[Action]:
        """Send moves again that were not acknowledged within `retry_s`."""
        actions: list[Action] = []
        for channel, pending in self.pending.items():
            if now - pending.sent_at >= self.retry_s:
                self.pending[channel] = PendingMove(pending.move, now)
                actions.append(Send(channel[1], pending.move))
        return actions

    def clear(self) -> None:
        """Drop all moves, which a new round invalidates."""
        self.numbers.clear()
        self.pending.clear()


class Inbox:
    """Detects moves that were received before."""

    def __init__(self) -> None:
        self.numbers: dict[tuple[Lane, str], int] = {}

    def is_new(self, move: ShareMove, sender: str) -> bool:
        """Record a move; return whether it is new."""
        channel = (move.lane, sender)
        if move.number <= self.numbers.get(channel, 0):
            return False
        self.numbers[channel] = move.number
        return True

    def clear(self) -> None:
        """Forget all moves, for a new round."""
        self.numbers.clear()
