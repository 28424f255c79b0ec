"""Requests that break the targets that run them, recognised when they come again."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet import Target, TargetRegistry
from thornlatch.gateway._ports import CallerRequest


@dataclass(frozen=True)
class SuspectSettings:
    """When a request is kept away from targets.

    Parameters
    ----------
    target_limit : int
        Targets, over all hosts, that broke a request off; then it isn't sent again.
    memory_s : float
        Seconds for which a broken run is remembered.
    size : int
        Requests that are remembered; the oldest make room.
    restart_s : float
        Seconds that a crashed target takes at least until it serves again. One that
        answers sooner hasn't crashed; one that breaks off a later run has once more.
    register_s : float
        Seconds within which the store tells of a target's new incarnation.
    """

    target_limit: Annotated[int, Meta(ge=1)] = 3
    memory_s: Annotated[float, Meta(gt=0)] = 60.0
    size: Annotated[int, Meta(ge=1)] = 500
    restart_s: Annotated[float, Meta(gt=0)] = 1.0
    register_s: Annotated[float, Meta(gt=0)] = 3.0


@dataclass
class _Break:
    target: Target
    at: float
    number: int
    answered_at: float | None = None

    def get_name(self) -> str:
        """Return the same name on all hosts that saw the target's crash."""
        return f"{self.target.id}/{self.target.started_ms}/{self.number}"


class CrashSuspects:
    """Counts the targets that a request broke, over all hosts; safe for threads.

    Parameters
    ----------
    settings : SuspectSettings
    registry : TargetRegistry
        Tells whether a target has restarted.
    """

    def __init__(self, settings: SuspectSettings, registry: TargetRegistry) -> None:
        self.settings = settings
        self.registry = registry
        self.lock = threading.Lock()
        self.breaks: OrderedDict[str, list[_Break]] = OrderedDict()
        self.doubted: frozenset[tuple[str, int]] = frozenset()
        self.peers: dict[str, dict[str, tuple[str, ...]]] = {}

    def note_broken(self, fingerprint: str, target: Target, *, now: float) -> None:
        """Note a run that a target broke off.

        Parameters
        ----------
        fingerprint : str
        target : Target
        now : float
        """
        with self.lock:
            breaks = self.breaks.setdefault(fingerprint, [])
            self.breaks.move_to_end(fingerprint)
            former = [one for one in breaks if one.target.id == target.id]
            if former and now - former[-1].at < self.settings.restart_s:
                # One crash breaks all runs there.
                return
            breaks.append(_Break(target, now, len(former)))
            while len(self.breaks) > self.settings.size:
                self.breaks.popitem(last=False)
            self._set_doubted()

    def note_answered(self, target: Target, *, sent_at: float, now: float) -> None:
        """Note that a target answered, which it doesn't when it has crashed.

        Parameters
        ----------
        target : Target
        sent_at : float
            When the request was sent to it.
        now : float
        """
        if target.incarnation not in self.doubted:
            return
        with self.lock:
            for breaks in self.breaks.values():
                for one in breaks:
                    is_same = one.target.incarnation == target.incarnation
                    if is_same and sent_at >= one.at and one.answered_at is None:
                        one.answered_at = now

    def count(self, fingerprint: str) -> int:
        """Return how many targets a request broke, over all hosts.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        int
        """
        names = {one.get_name() for one in self.breaks.get(fingerprint, ())}
        for peer in self.peers.values():
            names.update(peer.get(fingerprint, ()))
        return len(names)

    def must_keep_away(self, fingerprint: str) -> bool:
        """Return whether a request isn't to be sent again.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        bool
        """
        return self.count(fingerprint) >= self.settings.target_limit

    def list_own_crashes(self, *, now: float) -> dict[str, tuple[str, ...]]:
        """Return the targets that this host saw broken, as digests carry them.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to tuple of str
            By fingerprint of the request.
        """
        if not self.breaks:
            return {}
        with self.lock:
            for fingerprint, breaks in list(self.breaks.items()):
                kept = [one for one in breaks if not self._is_cleared(one, now)]
                if kept:
                    self.breaks[fingerprint] = kept
                else:
                    del self.breaks[fingerprint]
            self._set_doubted()
            return {
                fingerprint: tuple(one.get_name() for one in breaks)
                for fingerprint, breaks in self.breaks.items()
            }

    def _is_cleared(self, one: _Break, now: float) -> bool:
        if now - one.at >= self.settings.memory_s:
            return True
        if one.answered_at is None:
            return False
        if one.answered_at - one.at < self.settings.restart_s:
            return True
        # It may have restarted without this host having heard of it yet.
        known = self.registry.get(one.target.id)
        return (
            now - one.answered_at >= self.settings.register_s
            and known is not None
            and known.incarnation == one.target.incarnation
        )

    def _set_doubted(self) -> None:
        self.doubted = frozenset(
            one.target.incarnation
            for breaks in self.breaks.values()
            for one in breaks
            if one.answered_at is None
        )

    def set_peer_crashes(self, host: str, broken: dict[str, tuple[str, ...]]) -> None:
        """Take what a peer saw.

        Parameters
        ----------
        host : str
        broken : dict of str to tuple of str
            As `list_own_crashes` returns it.
        """
        self.peers = {**self.peers, host: broken}

    def set_fleet_crashes(self, broken: dict[str, tuple[str, ...]]) -> None:
        """Take what all other hosts together saw.

        Parameters
        ----------
        broken : dict of str to tuple of str
        """
        self.peers = {"": broken}

    def retain_hosts(self, hosts: Iterable[str]) -> None:
        """Forget what hosts said that aren't among those known.

        Parameters
        ----------
        hosts : iterable of str
        """
        known = set(hosts)
        self.peers = {host: one for host, one in self.peers.items() if host in known}


def fingerprint_request(request: CallerRequest) -> str:
    """Return what a request has in common with its repetitions.

    Parameters
    ----------
    request : CallerRequest

    Returns
    -------
    str
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.host, request.uri, request.key or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
