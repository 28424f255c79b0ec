"""The newest word of each sender, and when it was heard."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class Dated(Protocol):
    """A message with the moment of its sending, by the sender's clock."""

    @property
    def sent_at(self) -> float:
        """Seconds of the sender's clock."""


Sender = TypeVar("Sender")
Word = TypeVar("Word", bound=Dated)


@dataclass(frozen=True)
class Heard(Generic[Word]):
    """A word and when this host heard it."""

    word: Word
    heard_at: float


class NewestWords(Generic[Sender, Word]):
    """Keeps the newest word of each sender, in whatever order they arrive.

    One thread changes it. `heard` is replaced, not changed, so that others may read it.
    """

    def __init__(self) -> None:
        self.heard: dict[Sender, Heard[Word]] = {}

    def take(self, sender: Sender, word: Word, *, now: float) -> bool:
        """Take a word; return whether it is newer than the one before.

        Parameters
        ----------
        sender : hashable
        word : Dated
        now : float

        Returns
        -------
        bool
        """
        former = self.heard.get(sender)
        if former is not None and word.sent_at <= former.word.sent_at:
            return False
        self.heard = {**self.heard, sender: Heard(word, now)}
        return True

    def list_fresh(self, *, now: float, silent_s: float) -> dict[Sender, Word]:
        """Return the words of the senders that aren't silent.

        Parameters
        ----------
        now : float
        silent_s : float
            Seconds without a word after which a sender is silent.

        Returns
        -------
        dict
        """
        return {
            sender: one.word
            for sender, one in self.heard.items()
            if now - one.heard_at < silent_s
        }

    def keep(self, senders: Collection[Sender]) -> None:
        """Forget all senders but some.

        Parameters
        ----------
        senders : collection
        """
        self.heard = {name: one for name, one in self.heard.items() if name in senders}
