"""Requests that break the targets that run them, recognised when they come again."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from thornlatch.gateway._ports import CallerRequest


@dataclass(frozen=True)
class SuspectSettings:
    """When a request is kept away from targets.

    Parameters
    ----------
    break_limit : int
        Broken runs, over all hosts, after which a request isn't sent again.
    memory_s : float
        Seconds for which a broken run is remembered.
    size : int
        Requests that are remembered; the oldest make room.
    """

    break_limit: Annotated[int, Meta(ge=1)] = 3
    memory_s: Annotated[float, Meta(gt=0)] = 60.0
    size: Annotated[int, Meta(ge=1)] = 500


@dataclass
class _Suspect:
    own: int = 0
    seen_at: float = 0.0


class CrashSuspects:
    """Counts broken runs by request, over all hosts; safe for threads.

    Parameters
    ----------
    settings : SuspectSettings
    """

    def __init__(self, settings: SuspectSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self.peers: dict[str, dict[str, int]] = {}

    def note_broken(self, fingerprint: str, *, now: float) -> int:
        """Note a run that broke off; return how many did, over all hosts.

        Parameters
        ----------
        fingerprint : str
        now : float

        Returns
        -------
        int
        """
        with self.lock:
            suspect = self.suspects.setdefault(fingerprint, _Suspect())
            self.suspects.move_to_end(fingerprint)
            suspect.own += 1
            suspect.seen_at = now
            while len(self.suspects) > self.settings.size:
                self.suspects.popitem(last=False)
        return self.count(fingerprint)

    def count(self, fingerprint: str) -> int:
        """Return the broken runs of a request, over all hosts.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        int
        """
        suspect = self.suspects.get(fingerprint)
        own = suspect.own if suspect is not None else 0
        return own + sum(counts.get(fingerprint, 0) for counts in self.peers.values())

    def must_keep_away(self, fingerprint: str) -> bool:
        """Return whether a request isn't to be sent again.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        bool
        """
        return self.count(fingerprint) >= self.settings.break_limit

    def list_own(self, *, now: float) -> dict[str, int]:
        """Return this host's counts, as digests carry them.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to int
        """
        with self.lock:
            oldest = now - self.settings.memory_s
            for name in [n for n, s in self.suspects.items() if s.seen_at < oldest]:
                del self.suspects[name]
            return {n: s.own for n, s in self.suspects.items()}

    def take_peer(self, host: str, counts: dict[str, int]) -> None:
        """Take a peer's counts.

        Parameters
        ----------
        host : str
        counts : dict of str to int
        """
        self.peers = {**self.peers, host: counts}

    def take_all_peers(self, counts: dict[str, int]) -> None:
        """Take the counts of all other hosts together.

        Parameters
        ----------
        counts : dict of str to int
        """
        self.peers = {"": counts}

    def forget_others(self, hosts: Iterable[str]) -> None:
        """Forget the counts of hosts that aren't among those known.

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
