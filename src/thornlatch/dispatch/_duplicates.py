"""Duplicates of one request that several hosts send at the same time.

Duplicates have the same fingerprint. Until one of them has succeeded, each may crash
the target that runs it, so all of them are sent to the same target.
"""

from collections import OrderedDict
from dataclasses import dataclass

from thornlatch.dispatch._messages import Outcome, RequestSpec

MAX_PROVEN_REQUESTS = 1024


class ProvenRequests:
    """Fingerprints of the requests that succeeded most recently."""

    def __init__(self) -> None:
        self.fingerprints: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self.fingerprints

    def note_ended(self, fingerprint: str, outcome: Outcome) -> bool:
        """Record the outcome of a request.

        A success proves the fingerprint; an unknown outcome revokes the proof.

        Parameters
        ----------
        fingerprint : str
            An empty one is ignored.
        outcome : Outcome

        Returns
        -------
        bool
            Whether the fingerprint is proven now and wasn't before.
        """
        if outcome is Outcome.UNKNOWN:
            self.fingerprints.pop(fingerprint, None)
        if outcome is not Outcome.OK or not fingerprint:
            return False
        is_first = fingerprint not in self.fingerprints
        self.fingerprints[fingerprint] = None
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > MAX_PROVEN_REQUESTS:
            self.fingerprints.popitem(last=False)
        return is_first


@dataclass
class DuplicateGroup:
    """Duplicates of one request that are running.

    Parameters
    ----------
    target : str
        Target of the first one.
    began_at : float
        Time of the first one's grant, seconds.
    count : int
    """

    target: str
    began_at: float
    count: int = 0


class DuplicateTracker:
    """Confines duplicates of a request to one target until one of them has succeeded.

    The owner of a pool grants every slot, so it sees the duplicates of all hosts.

    Parameters
    ----------
    hold_s : float
        Longest time for which duplicates are confined to the target of the first one,
        and time without new duplicates after one ended without an answer, seconds.
    """

    def __init__(self, hold_s: float) -> None:
        self.hold_s = hold_s
        self.groups: dict[str, DuplicateGroup] = {}
        self.blocked_until: dict[str, float] = {}
        self.proven = ProvenRequests()

    def may_run(self, spec: RequestSpec, target: str, now: float) -> bool:
        """Return whether a request may be granted on a target.

        Parameters
        ----------
        spec : RequestSpec
        target : str
        now : float
            Seconds.

        Returns
        -------
        bool
        """
        fingerprint = spec.fingerprint
        if not fingerprint or spec.is_isolated or fingerprint in self.proven:
            return True
        # A host sends a further attempt only after it has checked whether the target of
        # the failed one crashed.
        if spec.attempt == 1 and now < self.blocked_until.get(fingerprint, now):
            return False
        group = self.groups.get(fingerprint)
        if group is None or now >= group.began_at + self.hold_s:
            return True
        return group.target == target

    def note_granted(self, fingerprint: str, target: str, now: float) -> None:
        """Record that a request was granted on a target.

        Parameters
        ----------
        fingerprint : str
            An empty one is ignored.
        target : str
        now : float
            Seconds.
        """
        if fingerprint:
            group = self.groups.setdefault(fingerprint, DuplicateGroup(target, now))
            group.count += 1

    def note_ended(self, fingerprint: str, outcome: Outcome, now: float) -> bool:
        """Record the outcome of a request that was granted before.

        Parameters
        ----------
        fingerprint : str
            An empty one is ignored.
        outcome : Outcome
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether waiting duplicates may now run on any target.
        """
        if not fingerprint:
            return False
        is_first_proof = self.proven.note_ended(fingerprint, outcome)
        if outcome is Outcome.UNKNOWN:
            self.blocked_until[fingerprint] = now + self.hold_s
        group = self.groups[fingerprint]
        group.count -= 1
        if not group.count:
            del self.groups[fingerprint]
        return is_first_proof

    def expire(self, now: float) -> None:
        """Drop the expired blocks of new duplicates."""
        for fingerprint in [
            f for f, until in self.blocked_until.items() if now >= until
        ]:
            del self.blocked_until[fingerprint]
