"""Which members this host watches and which of them it would accuse."""

import math
from collections.abc import Collection

from thornlatch.core import get_host_name
from thornlatch.membership._peers import choose_watched
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import ViewFold
from thornlatch.membership._watch import PeerWatch

ISOLATED_FACTOR = 3.0
HINTED_FACTOR = 0.5


class Suspects:
    """Members that are silent or don't acknowledge a join.

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
        self.hinted_gone: set[str] = set()
        self.probed_only: set[str] = set()
        self.chosen_for: tuple[int, frozenset[str]] | None = None

    def update(self, view: ViewFold, *, now: float) -> None:
        """Follow the view: watch its members and time its joins.

        Parameters
        ----------
        view : ViewFold
        now : float
        """
        if self.host not in view.members:
            return
        self.joined_at = {
            joiner: self.joined_at.get(joiner, now) for joiner in view.awaiting
        }
        for host in [h for h, until in self.probed_until.items() if until <= now]:
            del self.probed_until[host]
        chosen_for = (view.version, frozenset(self.probed_until))
        if chosen_for == self.chosen_for:
            return
        self.chosen_for = chosen_for
        limit = self.settings.full_mesh_limit
        usual = choose_watched(self.host, view, full_mesh_limit=limit)
        watched = choose_watched(
            self.host, view, full_mesh_limit=limit, probed=self.probed_until
        )
        self.probed_only = watched - usual
        self.watch.set_watched(watched, now=now)

    def note_hint(
        self, view: ViewFold, live_hosts: Collection[str], leaving: Collection[str]
    ) -> None:
        """Take in the platform's list of hosts; ids or names without incarnation."""
        live = set(live_hosts) - set(leaving)
        self.hinted_gone = {
            host
            for host in view.members
            if host not in live and get_host_name(host) not in live
        }

    def note_accused(self, host: str, *, now: float) -> None:
        """Note that somebody accused `host`, so that voters look for themselves."""
        self.probed_until[host] = now + self.settings.patience_s

    def note_defended(self, host: str, *, now: float) -> None:
        """Note that `host` answered this host's accusation."""
        self.watch.note_defended(host, now=now)
        self.joined_at = dict.fromkeys(self.joined_at, now)

    def note_pause(self, *, now: float) -> None:
        """Start all times anew after this process itself was paused."""
        self.watch.note_pause(now=now)
        self.joined_at = dict.fromkeys(self.joined_at, now)

    def find_suspects(self, view: ViewFold, *, now: float) -> set[str]:
        """Return the hosts that are silent or late to acknowledge a join."""
        suspects = self._find_late(view, now)
        if now < self.get_next_silence():
            return suspects
        is_in_touch = self._is_in_touch(now)
        for host in self.watch.heard_at:
            limit_s = self._get_limit(host, is_in_touch=is_in_touch)
            if self.watch.is_silent(host, limit_s=limit_s, now=now):
                suspects.add(host)
        return suspects

    def get_next_silence(self) -> float:
        """Return the time at which the first watched member would be silent."""
        heard_at = self.watch.heard_at.values()
        hint = HINTED_FACTOR if self.hinted_gone or self.probed_only else 1.0
        return min(heard_at, default=math.inf) + self.settings.suspect_s * hint

    def find_accusable(self, view: ViewFold, *, now: float) -> list[str]:
        """Return the watched and late members in a fixed order."""
        candidates = self.watch.heard_at.keys() | self._find_late(view, now)
        return sorted(candidates & view.members.keys())

    def _get_limit(self, host: str, *, is_in_touch: bool) -> float:
        settings = self.settings
        if not is_in_touch:
            # More likely this host is cut off; the others may accuse it first.
            return settings.suspect_s * ISOLATED_FACTOR
        # A probed host was silent to its watcher for the whole time before.
        if host in self.hinted_gone or host in self.probed_only:
            return max(settings.suspect_s * HINTED_FACTOR, 2 * settings.heartbeat_s)
        return settings.suspect_s

    def _is_in_touch(self, now: float) -> bool:
        watched = self.watch.heard_at
        heard = self.watch.count_heard(watched, now=now)
        return 2 * (heard + 1) > len(watched) + 1

    def _find_late(self, view: ViewFold, now: float) -> set[str]:
        if not view.is_voter(self.host):
            return set()
        late: set[str] = set()
        for joiner, since in self.joined_at.items():
            if now - since >= self.settings.acknowledge_s:
                late.update(view.iter_late(joiner))
        return late - {self.host}
