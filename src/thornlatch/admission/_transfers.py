"""Moves of parts that arrive exactly once or not at all."""

from dataclasses import dataclass

from thornlatch.admission._messages import Lane, ShareMove
from thornlatch.admission._shares import Share
from thornlatch.core import Action, Send


@dataclass(frozen=True)
class RoundId:
    """Fencing number of a part.

    Parameters
    ----------
    epoch : int
    round_number : int
    """

    epoch: int = -1
    round_number: int = 0

    def is_after(self, other: "RoundId") -> bool:
        """Return whether this one is later than `other`."""
        return (self.epoch, self.round_number) > (other.epoch, other.round_number)

    def matches(self, message: object) -> bool:
        """Return whether `message` carries this stamp."""
        return self == RoundId(
            getattr(message, "epoch", -1), getattr(message, "round_number", -1)
        )


@dataclass(frozen=True)
class PendingMove:
    """A move that its recipient has not accepted yet.

    Parameters
    ----------
    move : ShareMove
    sent_at : float
        Seconds.
    """

    move: ShareMove
    sent_at: float


class Outbox:
    """Sends the moves of one holder, one at a time to each recipient.

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
        """Return whether the recipient has accepted all earlier moves."""
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
        """Send a part that the holder has given up."""
        channel = (lane, recipient)
        number = self.numbers.get(channel, 0) + 1
        self.numbers[channel] = number
        move = ShareMove(
            self.key, round_id.epoch, round_id.round_number, lane, number, share, level
        )
        self.pending[channel] = PendingMove(move, now)
        return Send(recipient, move)

    def accept(self, lane: Lane, recipient: str, number: int) -> ShareMove | None:
        """Forget a move that arrived; return it if it was still pending."""
        pending = self.pending.get((lane, recipient))
        if pending is None or pending.move.number != number:
            return None
        del self.pending[lane, recipient]
        return pending.move

    def resend(self, *, now: float) -> list[Action]:
        """Repeat the moves that were not accepted in time."""
        actions: list[Action] = []
        for channel, pending in self.pending.items():
            if now - pending.sent_at >= self.retry_s:
                self.pending[channel] = PendingMove(pending.move, now)
                actions.append(Send(channel[1], pending.move))
        return actions

    def clear(self) -> None:
        """Drop all moves, as a new stamp makes them void."""
        self.numbers.clear()
        self.pending.clear()


class Inbox:
    """Tells new moves from repeated ones."""

    def __init__(self) -> None:
        self.numbers: dict[tuple[Lane, str], int] = {}

    def is_new(self, move: ShareMove, sender: str) -> bool:
        """Return whether the move is to be added now, and remember it."""
        channel = (move.lane, sender)
        if move.number <= self.numbers.get(channel, 0):
            return False
        self.numbers[channel] = move.number
        return True

    def clear(self) -> None:
        """Start anew under a new stamp."""
        self.numbers.clear()
