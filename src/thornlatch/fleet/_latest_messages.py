"""The latest message of each sender, and when it was received."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class Timestamped(Protocol):
    """A message with its send time by the sender's clock."""

    @property
    def sent_at(self) -> float:
        """Seconds of the sender's clock."""


SenderT = TypeVar("SenderT")
MessageT = TypeVar("MessageT", bound=Timestamped)


@dataclass(frozen=True)
class ReceivedMessage(Generic[MessageT]):
    """A message and when this host received it."""

    message: MessageT
    received_at: float


class LatestMessages(Generic[SenderT, MessageT]):
    """Keeps the latest message of each sender; messages may arrive out of order.

    Only one thread may modify it. `by_sender` is replaced rather than modified, so that
    other threads can read it without a lock.
    """

    def __init__(self) -> None:
        self.by_sender: dict[SenderT, ReceivedMessage[MessageT]] = {}

    def add(self, sender: SenderT, message: MessageT, *, now: float) -> bool:
        """Add a message unless a later one of the sender is known.

        Parameters
        ----------
        sender : hashable
        message : Timestamped
        now : float

        Returns
        -------
        bool
            Whether the message was added.
        """
        previous = self.by_sender.get(sender)
        if previous is not None and message.sent_at <= previous.message.sent_at:
            return False
        self.by_sender = {**self.by_sender, sender: ReceivedMessage(message, now)}
        return True

    def list_fresh(self, *, now: float, silent_s: float) -> dict[SenderT, MessageT]:
        """Return the latest messages of the senders that aren't silent.

        Parameters
        ----------
        now : float
        silent_s : float
            Seconds without a message after which a sender is silent.

        Returns
        -------
        dict
        """
        return {
            sender: received.message
            for sender, received in self.by_sender.items()
            if now - received.received_at < silent_s
        }

    def retain(self, senders: Collection[SenderT]) -> None:
        """Remove the messages of all other senders.

        Parameters
        ----------
        senders : collection
        """
        self.by_sender = {
            sender: received
            for sender, received in self.by_sender.items()
            if sender in senders
        }
