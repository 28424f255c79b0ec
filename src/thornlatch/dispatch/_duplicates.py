"""Copies of one request that several hosts send at the same time.

Equal requests have the same fingerprint. Until one has ended well, they may crash each
target that runs them, so they share a target.
"""

from collections import OrderedDict
from dataclasses import dataclass

from thornlatch.dispatch._messages import Outcome, RequestSpec

PROVEN_LIMIT = 1024


class ProvenRequests:
    """The latest fingerprints of requests that ran to their end."""

    def __init__(self) -> None:
        self.fingerprints: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self.fingerprints

    def note_ended(self, fingerprint: str, outcome: Outcome) -> bool:
        """Note how a run ended.

        Parameters
        ----------
        fingerprint : str
            Nothing is noted of an empty one.
        outcome : Outcome

        Returns
        -------
        bool
            Whether this is the first proof.
        """
        if outcome is Outcome.UNKNOWN:
            self.fingerprints.pop(fingerprint, None)
        if outcome is not Outcome.OK or not fingerprint:
            return False
        is_first = fingerprint not in self.fingerprints
        self.fingerprints[fingerprint] = None
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > PROVEN_LIMIT:
            self.fingerprints.popitem(last=False)
        return is_first


@dataclass
class DuplicateGroup:
    """Copies of one request that run now.

    Parameters
    ----------
    target : str
        Target that runs them.
    began_at : float
        Time of the first one's grant, seconds.
    count : int
    """

    target: str
    began_at: float
    count: int = 0


class DuplicateTracker:
    """Keeps copies of a request on one target until one of them has ended well.

    The owner of a pool grants every slot, so it sees the copies of all hosts.

    Parameters
    ----------
    hold_s : float
        Seconds for which copies share the first one's target at most, and for which no
        new copy is granted after one ended without an answer.
    """

    def __init__(self, hold_s: float) -> None:
        self.hold_s = hold_s
        self.groups: dict[str, DuplicateGroup] = {}
        self.blocked_until: dict[str, float] = {}
        self.proven = ProvenRequests()

    def may_run(self, spec: RequestSpec, target: str, now: float) -> bool:
        """Return whether a request may be granted to a target now.

        Parameters
        ----------
        spec : RequestSpec
        target : str
        now : float

        Returns
        -------
        bool
        """
        fingerprint = spec.fingerprint
        if not fingerprint or spec.is_isolated or fingerprint in self.proven:
            return True
        # Who tries again has found out itself whether its target died.
        if spec.attempt == 1 and now < self.blocked_until.get(fingerprint, now):
            return False
        group = self.groups.get(fingerprint)
        if group is None or now >= group.began_at + self.hold_s:
            return True
        return group.target == target

    def note_granted(self, fingerprint: str, target: str, now: float) -> None:
        """Note that a copy was granted to a target.

        Parameters
        ----------
        fingerprint : str
            Nothing is noted of an empty one.
        target : str
        now : float
        """
        if fingerprint:
            group = self.groups.setdefault(fingerprint, DuplicateGroup(target, now))
            group.count += 1

    def note_ended(self, fingerprint: str, outcome: Outcome, now: float) -> bool:
        """Note that a copy ended; it was granted before.

        Parameters
        ----------
        fingerprint : str
            Nothing is noted of an empty one.
        outcome : Outcome
        now : float

        Returns
        -------
        bool
            Whether waiting copies may now run on any target.
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
        """Forget doubts whose time is over."""
        for fingerprint in [
            f for f, until in self.blocked_until.items() if now >= until
        ]:
            del self.blocked_until[fingerprint]
