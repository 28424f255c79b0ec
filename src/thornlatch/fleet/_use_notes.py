"""Direct notes to a target's holder of which adapters other hosts use there.

In a large fleet digests tell it some tenths of a second late. In that time the holder
would give up adapters that requests have just been sent for, and spare others that are
no longer in use.
"""

from dataclasses import dataclass

from thornlatch.core import register

NOTE_VALIDITY_S = 0.6  # by then digests include what a note says


@register
@dataclass(frozen=True)
class AdapterUsed:
    """Says that the sender begins or ceases to use an adapter at a target.

    Parameters
    ----------
    target, adapter : str
    is_used : bool
    """

    target: str
    adapter: str
    is_used: bool


class UseNotes:
    """Latest notes of all hosts; one thread adds them, any thread may read them."""

    def __init__(self) -> None:
        # By target, then by adapter and host: whether it is used, and time of receipt.
        self.by_target: dict[str, dict[tuple[str, str], tuple[bool, float]]] = {}

    def add(self, host: str, note: AdapterUsed, *, now: float) -> None:
        """Add a host's note, in place of its former one on the same adapter.

        Parameters
        ----------
        host : str
        note : AdapterUsed
        now : float
        """
        valid = {
            key: (is_used, added_at)
            for key, (is_used, added_at) in self.by_target.get(note.target, {}).items()
            if now - added_at < NOTE_VALIDITY_S
        }
        valid[note.adapter, host] = (note.is_used, now)
        self.by_target[note.target] = valid

    def retain_targets(self, targets: set[str]) -> None:
        """Drop the notes on all other targets.

        Parameters
        ----------
        targets : set of str
        """
        self.by_target = {
            target: notes
            for target, notes in self.by_target.items()
            if target in targets
        }

    def correct(
        self, target: str, counts: dict[str, int], *, now: float
    ) -> dict[str, int]:
        """Return the requests at a target by adapter, corrected by valid notes.

        Parameters
        ----------
        target : str
        counts : dict of str to int
            As digests report them.
        now : float

        Returns
        -------
        dict of str to int
            A host that began counts at least once, also if digests include it already.
        """
        corrected = dict(counts)
        used: dict[str, int] = {}
        for (adapter, _), (is_used, added_at) in self.by_target.get(target, {}).items():
            if now - added_at >= NOTE_VALIDITY_S:
                continue
            change = 1 if is_used else -1
            corrected[adapter] = corrected.get(adapter, 0) + change
            if is_used:
                used[adapter] = used.get(adapter, 0) + 1
        return {
            adapter: max(count, used.get(adapter, 0), 0)
            for adapter, count in corrected.items()
        }
