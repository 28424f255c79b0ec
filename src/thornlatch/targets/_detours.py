"""Connections to targets that this host can't reach, through a host that can.

Another host passes on the bytes of a tunnel (CONNECT of RFC 9110) and nothing else, so
a request is charged, counted, timed and answered by the host that its caller reached.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http.client import HTTPConnection
from random import Random
from typing import Annotated

import logbook
from msgspec import Meta

from thornlatch.core import connect, read_clock

logger = logbook.Logger("thornlatch.gateway")


@dataclass(frozen=True)
class DetourSettings:
    """When and how long targets are reached through other hosts.

    Parameters
    ----------
    probe_period_s : float
        Seconds between two attempts to reach a target directly again.
    probe_s : float
        Timeout of such an attempt, which a request waits for.
    tunnel_s : float
        Seconds in which a tunnel must be found, over all hosts that are asked. Keys
        are checked before it, and mustn't be used much later.
    tries : int
        Hosts that are asked for a tunnel before the target counts as unreachable; one
        if this host has reached another target within `avoid_s`.
    avoid_s : float
        Seconds for which no tunnel is asked of a host that couldn't make one, and none
        to a target that no host could reach.
    """

    probe_period_s: Annotated[float, Meta(gt=0)] = 0.5
    probe_s: Annotated[float, Meta(gt=0)] = 0.15
    tunnel_s: Annotated[float, Meta(gt=0)] = 0.2
    tries: Annotated[int, Meta(ge=1)] = 3
    avoid_s: Annotated[float, Meta(gt=0)] = 1.0


@dataclass(frozen=True)
class TunnelHost:
    """A host that may make tunnels.

    Parameters
    ----------
    id : str
    address : str
        ``ip:port`` on which it takes requests for tunnels.
    is_near : bool
        Whether it is in this host's failure domain.
    """

    id: str
    address: str
    is_near: bool = False


@dataclass
class _Link:
    # This host's own way to a target.
    is_cut: bool = False
    probe_due_at: float = float("-inf")
    no_tunnel_until: float = float("-inf")


@dataclass
class Detours:
    """Connects to targets, through another host if need be; thread-safe.

    Parameters
    ----------
    settings : DetourSettings
    list_hosts : callable
        Returns the live hosts that may make tunnels.
    random : random.Random
        Spreads tunnels over the hosts.
    on_cut : callable
        Called with the address of a target that can't be reached directly any more,
        and the present time.
    """

    settings: DetourSettings
    list_hosts: Callable[[], Iterable[TunnelHost]]
    random: Random
    on_cut: Callable[[str, float], None]
    links: dict[str, _Link] = field(default_factory=dict)
    # Until when hosts that couldn't make a tunnel are asked last.
    avoided_until: dict[str, float] = field(default_factory=dict)
    reached_at: float = float("-inf")  # when a target was last reached directly
    lock: threading.Lock = field(default_factory=threading.Lock)

    def is_cut(self, address: str) -> bool:
        """Return whether a target is reached through other hosts.

        Parameters
        ----------
        address : str

        Returns
        -------
        bool
        """
        link = self.links.get(address)
        return link is not None and link.is_cut

    def count_cut(self) -> int:
        """Return the number of targets that are reached through other hosts."""
        return sum(link.is_cut for link in list(self.links.values()))

    def connect(self, address: str, *, timeout_s: float) -> HTTPConnection:
        """Open a connection to a target.

        Parameters
        ----------
        address : str
            ``ip:port``.
        timeout_s : float
            Seconds to connect directly.

        Returns
        -------
        http.client.HTTPConnection

        Raises
        ------
        OSError
            If neither this host nor another one reaches the target.
        """
        now = read_clock()
        error: OSError = ConnectionError("no host reaches the target")
        direct_s = self._begin_direct(address, timeout_s, now)
        if direct_s is not None:
            try:
                connection = connect(address, timeout_s=direct_s)
            except OSError as direct_error:
                error = direct_error
            else:
                self._note_reached(address)
                return connection
        now = read_clock()
        if now < self._get_link(address).no_tunnel_until:
            raise error
        is_target_likely = now - self.reached_at < self.settings.avoid_s
        tries = 1 if is_target_likely else self.settings.tries
        ends_at = now + self.settings.tunnel_s
        for host in self._rank_hosts(now)[:tries]:
            left_s = ends_at - read_clock()
            if left_s <= 0:
                break
            try:
                connection = connect(host.address, timeout_s=left_s, tunnel_to=address)
            except OSError as tunnel_error:
                logger.info(
                    "target.tunnel_failed",
                    extra={
                        "address": address,
                        "through": host.id,
                        "error": str(tunnel_error),
                    },
                )
                self.avoided_until[host.id] = read_clock() + self.settings.avoid_s
                continue
            self._note_cut(address, host.id, str(error))
            return connection
        self._note_unreachable(address)
        raise error

    def _begin_direct(self, address: str, timeout_s: float, now: float) -> float | None:
        """Return the timeout for connecting directly; None not to try it now."""
        with self.lock:
            link = self._get_link(address)
            if not link.is_cut:
                return timeout_s
            if now < link.probe_due_at:
                return None
            # One request at a time finds out, the others go on through other hosts.
            link.probe_due_at = now + self.settings.probe_period_s
            return min(self.settings.probe_s, timeout_s)

    def _get_link(self, address: str) -> _Link:
        return self.links.setdefault(address, _Link())

    def _rank_hosts(self, now: float) -> list[TunnelHost]:
        hosts = list(self.list_hosts())
        self.random.shuffle(hosts)
        hosts.sort(
            key=lambda host: (
                now < self.avoided_until.get(host.id, now),
                not host.is_near,
            )
        )
        return hosts

    def _note_reached(self, address: str) -> None:
        with self.lock:
            self.reached_at = read_clock()
            link = self._get_link(address)
            was_cut, link.is_cut = link.is_cut, False
            if was_cut:
                # The links to other targets have likely come back, too.
                for other in self.links.values():
                    other.probe_due_at = float("-inf")
        if was_cut:
            logger.info("target.detour_ended", extra={"address": address})

    def _note_cut(self, address: str, host: str, error: str) -> None:
        now = read_clock()
        with self.lock:
            self.avoided_until.pop(host, None)
            link = self._get_link(address)
            was_cut, link.is_cut = link.is_cut, True
            if not was_cut:
                link.probe_due_at = now + self.settings.probe_period_s
        if not was_cut:
            logger.warning(
                "target.detour_began",
                extra={"address": address, "through": host, "error": error},
            )
            self.on_cut(address, now)

    def _note_unreachable(self, address: str) -> None:
        with self.lock:
            link = self._get_link(address)
            link.is_cut = False
            link.no_tunnel_until = read_clock() + self.settings.avoid_s

    def retain(self, addresses: Iterable[str]) -> None:
        """Drop what is known of the links to all other targets.

        Parameters
        ----------
        addresses : iterable of str
        """
        kept = set(addresses)
        with self.lock:
            for address in self.links.keys() - kept:
                del self.links[address]
