"""Failure detection: which members this host watches and which it suspects."""

import math
from collections.abc import Collection

from thornlatch.core import get_host_name
from thornlatch.membership._peers import choose_watched
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import MembershipView
from thornlatch.membership._watch import PeerWatch

# Multiples of `suspect_s`, for a host that hears few peers, and for a peer that the
# platform's list lacks or that another host has accused already.
ISOLATED_TIMEOUT_FACTOR = 3.0
EARLY_TIMEOUT_FACTOR = 0.5


class Suspects:
    """Finds members that are silent or late to acknowledge a join.

    Parameters
    ----------
    settings : MembershipSettings
    host : str
        Host id of this process.
    """

    def __init__(self, settings: MembershipSettings, host: str) -> None:
        self.settings = settings
        self.host = host
        self.watch = PeerWatch(settings.suspect_s)
        self.joined_at: dict[str, float] = {}
        self.probed_until: dict[str, float] = {}
        self.missing_from_host_list: set[str] = set()
        self.probed_only: set[str] = set()
        self.watch_inputs: tuple[int, frozenset[str]] | None = None

    def update(self, view: MembershipView, *, now: float) -> None:
        """Update the watched members and the times of joins from the view.

        Parameters
        ----------
        view : MembershipView
        now : float
        """
        if self.host not in view.members:
            return
        self.joined_at = {
            joiner: self.joined_at.get(joiner, now) for joiner in view.awaiting
        }
        for host in [h for h, until in self.probed_until.items() if until <= now]:
            del self.probed_until[host]
        watch_inputs = (view.version, frozenset(self.probed_until))
        if watch_inputs == self.watch_inputs:
            return
        self.watch_inputs = watch_inputs
        limit = self.settings.full_mesh_limit
        usually_watched = choose_watched(self.host, view, full_mesh_limit=limit)
        watched = choose_watched(
            self.host, view, full_mesh_limit=limit, probed=self.probed_until
        )
        self.probed_only = watched - usually_watched
        self.watch.set_watched(watched, now=now)

    def note_host_list(
        self,
        view: MembershipView,
        live_hosts: Collection[str],
        leaving: Collection[str],
    ) -> None:
        """Apply the platform's list of hosts: ids, or names without incarnation."""
        listed = set(live_hosts) - set(leaving)
        self.missing_from_host_list = {
            host
            for host in view.members
            if host not in listed and get_host_name(host) not in listed
        }

    def note_accused(self, host: str, *, now: float) -> None:
        """Probe `host`, which a member accused, until it may be expelled.

        Only voters watch probed hosts.
        """
        self.probed_until[host] = now + self.settings.expulsion_delay_s

    def note_defended(self, host: str, *, now: float) -> None:
        """Record that `host` defended itself against this host's accusation."""
        self.watch.note_defended(host, now=now)
        self.joined_at = dict.fromkeys(self.joined_at, now)

    def note_pause(self, *, now: float) -> None:
        """Restart all timers after a pause of this process."""
        self.watch.note_pause(now=now)
        self.joined_at = dict.fromkeys(self.joined_at, now)

    def find_suspects(self, view: MembershipView, *, now: float) -> set[str]:
        """Return the hosts that are silent or late to acknowledge a join."""
        suspects = self._find_late_acknowledgers(view, now)
        if now < self.get_next_timeout():
            return suspects
        hears_most_peers = self._hears_most_peers(now)
        for host in self.watch.heard_at:
            timeout_s = self._get_timeout_s(host, hears_most_peers=hears_most_peers)
            if self.watch.has_timed_out(host, timeout_s=timeout_s, now=now):
                suspects.add(host)
        return suspects

    def get_next_timeout(self) -> float:
        """Return the time at which the first watched member could time out."""
        heard_at = self.watch.heard_at.values()
        factor = (
            EARLY_TIMEOUT_FACTOR
            if self.missing_from_host_list or self.probed_only
            else 1.0
        )
        return min(heard_at, default=math.inf) + self.settings.suspect_s * factor

    def find_accusable(self, view: MembershipView, *, now: float) -> list[str]:
        """Return the watched members and late acknowledgers in a fixed order."""
        candidates = self.watch.heard_at.keys() | self._find_late_acknowledgers(
            view, now
        )
        return sorted(candidates & view.members.keys())

    def _get_timeout_s(self, host: str, *, hears_most_peers: bool) -> float:
        settings = self.settings
        if not hears_most_peers:
            # This host is more likely to be cut off itself; its peers get the time to
            # accuse it first.
            return settings.suspect_s * ISOLATED_TIMEOUT_FACTOR
        # A probed host has already been silent to its accuser for the full timeout.
        if host in self.missing_from_host_list or host in self.probed_only:
            return max(
                settings.suspect_s * EARLY_TIMEOUT_FACTOR, 2 * settings.heartbeat_s
            )
        return settings.suspect_s

    def _hears_most_peers(self, now: float) -> bool:
        watched = self.watch.heard_at
        heard_count = self.watch.count_heard(watched, now=now)
        return 2 * (heard_count + 1) > len(watched) + 1

    def _find_late_acknowledgers(self, view: MembershipView, now: float) -> set[str]:
        if not view.is_voter(self.host):
            return set()
        late_hosts: set[str] = set()
        for joiner, since in self.joined_at.items():
            if now - since >= self.settings.acknowledge_s:
                late_hosts.update(view.iter_missing_acknowledgers(joiner))
        return late_hosts - {self.host}
