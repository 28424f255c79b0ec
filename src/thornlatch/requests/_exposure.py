"""Rules that bound the targets which equal requests may reach."""

import hashlib
from collections import Counter
from collections.abc import Iterable


def rank_targets(fingerprint: str, targets: Iterable[str]) -> list[str]:
    """Order targets by rendezvous hashing, the same on each host.

    Parameters
    ----------
    fingerprint : str
    targets : iterable of str
        Targets that may run the request; the first in the result is set aside for its
        isolated run.
    """
    return sorted(targets, key=lambda target: _score(fingerprint, target), reverse=True)


class CopiesInFlight:
    """Keeps copies of a request that are in flight together on one target.

    Used by the owner of a pool, which sees the grants of all hosts: a caller that sends
    one crashing request to several hosts at once then exposes a single target.
    """

    def __init__(self) -> None:
        self.targets: dict[str, str] = {}
        self.counts: Counter[str] = Counter()

    def find_target(self, fingerprint: str) -> str | None:
        """Return the target that runs a copy now."""
        return self.targets.get(fingerprint)

    def note_granted(self, fingerprint: str, target: str) -> None:
        """Note that a copy was granted to a target."""
        self.targets[fingerprint] = target
        self.counts[fingerprint] += 1

    def note_released(self, fingerprint: str) -> None:
        """Note that a copy ended."""
        self.counts[fingerprint] -= 1
        if self.counts[fingerprint] <= 0:
            del self.counts[fingerprint]
            self.targets.pop(fingerprint, None)


def _score(fingerprint: str, target: str) -> bytes:
    return hashlib.sha256(f"{fingerprint}\0{target}".encode()).digest()
