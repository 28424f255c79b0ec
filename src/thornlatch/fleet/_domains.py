"""Digests of whole failure domains, for fleets too large for a full mesh.

Each host sends its digest to two relays of its failure domain. A relay adds them up,
sends the sum to the relays of the other domains, and sums of all domains to its hosts.
So a host hears of two others however large the fleet is, and any host may be a relay.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from thornlatch.fleet._digests import HeldTarget, HostDigest
from thornlatch.fleet._domain_choice import (
    DomainChoice,
    ExchangeSettings,
    Member,
    choose_first,
)
from thornlatch.fleet._domain_messages import DomainDigest, FleetDigest, add_up
from thornlatch.fleet._domain_relay import DomainRelay


class DomainExchange:
    """Says what to send to whom in each turn of a large fleet; used by one thread.

    Parameters
    ----------
    settings : ExchangeSettings
    host : str
        This host's id.
    domain : str
    capacity : float
    """

    def __init__(
        self, settings: ExchangeSettings, *, host: str, domain: str, capacity: float
    ) -> None:
        self.settings = settings
        self.host = host
        self.domain = domain
        self.capacity = capacity
        self.members: dict[str, Member] = {}
        self.relay = DomainRelay(domain, host, settings)
        self.choice = DomainChoice(settings)
        # What holders of other domains said of targets since the turn before.
        self.pending: dict[str, tuple[str, HeldTarget]] = {}
        # Since when a relay owes an answer, and until when it isn't chosen.
        self.owing: dict[str, float] = {}
        self.suspects: dict[str, float] = {}
        self.turns = 0

    def set_members(self, others: dict[str, Member]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        others : dict of str to Member
        """
        own = Member("", self.domain, self.capacity)
        self.members = {**others, self.host: own}
        self.relay.forget(self.members)
        self.owing = {h: at for h, at in self.owing.items() if h in self.members}
        self.suspects = {h: at for h, at in self.suspects.items() if h in self.members}

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for a full mesh."""
        return len(self.members) > self.settings.mesh_hosts

    def is_orderer(self, silent: Iterable[str], *, orders_now: bool) -> bool:
        """Return whether this host is among those that order adapters.

        Parameters
        ----------
        silent : iterable of str
            Hosts that aren't heard of.
        orders_now : bool

        Returns
        -------
        bool
        """
        settings = self.settings
        count = settings.orderers + settings.orderers_margin * orders_now
        return self.host in choose_first(self.members, None, silent, count)

    def get_relays(self, domain: str, *, now: float) -> list[str]:
        """Return the relays of a domain, the first one first.

        Parameters
        ----------
        domain : str
        now : float

        Returns
        -------
        list of str
        """
        # Other threads ask, too, while the one that owns this changes it.
        suspects = [h for h, until in list(self.suspects.items()) if now < until]
        return choose_first(self.members, domain, suspects, self.settings.relays)

    def take(self, sender: str, message: Any, *, now: float) -> bool:
        """Take a message of another host; return whether it was meant for a relay.

        Parameters
        ----------
        sender : str
        message : object
        now : float

        Returns
        -------
        bool
        """
        self.owing.pop(sender, None)
        self.suspects.pop(sender, None)
        if isinstance(message, HostDigest):
            self.relay.take(sender, message, now=now)
            return True
        if isinstance(message, DomainDigest):
            self._take_domain(message, now)
            return True
        return False

    def _take_domain(self, message: DomainDigest, now: float) -> None:
        if message.spending.domain == self.domain:
            return
        if self.choice.take(message, now=now):
            held = message.work.held
            self.pending.update({one.target: (holder, one) for holder, one in held})

    def run_turn(
        self, digest: HostDigest, *, now: float
    ) -> tuple[list[tuple[str, Any]], list[Any]]:
        """Return the messages of a turn: to others, and to this host itself.

        Parameters
        ----------
        digest : HostDigest
            This host's own.
        now : float

        Returns
        -------
        (list of (str, object), list of object)
        """
        self.turns += 1
        self._note_owing(now)
        outgoing: list[tuple[str, Any]] = []
        relays = self.get_relays(self.domain, now=now)
        is_spare_turn = self.turns % self.settings.spare_turns == 0
        for relay in relays:
            # A spare relay sends as rarely itself, but must know all holders' words.
            is_due = relay == relays[0] or is_spare_turn or bool(digest.held)
            if relay != self.host and is_due:
                outgoing.append((relay, digest))
                self.owing.setdefault(relay, now)
        served = [host for host in self.relay.list_live(now=now) if host != self.host]
        if self.host not in relays and not served:
            return outgoing, []
        self.relay.take(self.host, digest, now=now)
        is_spare = bool(relays) and relays[0] != self.host
        if is_spare and not is_spare_turn:
            return outgoing, []
        to_others, to_self = self._relay(digest, served, is_spare, now)
        return outgoing + to_others, to_self

    def _note_owing(self, now: float) -> None:
        for host, since in list(self.owing.items()):
            if now - since >= self.settings.silent_s:
                del self.owing[host]
                self.suspects[host] = now + self.settings.suspect_s

    def _relay(
        self, digest: HostDigest, served: Sequence[str], is_spare: bool, now: float
    ) -> tuple[list[tuple[str, Any]], list[Any]]:
        own = self.relay.build(is_spare=is_spare, now=now)
        outgoing: list[tuple[str, Any]] = []
        others = {one.domain for one in self.members.values()} - {self.domain}
        for domain in sorted(others):
            for relay in self.get_relays(domain, now=now):
                outgoing.append((relay, own))
                self.owing.setdefault(relay, now)
        message = self._build_fleet_digest(own, digest.reads, now)
        outgoing += [(host, message) for host in served]
        to_self: list[Any] = [message]
        by_holder = self.relay.list_uses(message.work.held_names, now=now)
        for holder, uses in by_holder.items():
            if holder == self.host:
                to_self.append(uses)
            elif holder in self.members:
                outgoing.append((holder, uses))
        return outgoing, to_self

    def _build_fleet_digest(
        self, own: DomainDigest, reads: dict[str, tuple[int, float]], now: float
    ) -> FleetDigest:
        digests = [own, *self.choice.choose(now=now)]
        work = add_up(one.work for one in digests)
        held = (*own.work.held, *self.pending.values())
        self.pending = {}
        return FleetDigest(
            self.host,
            now,
            tuple(one.spending for one in digests),
            replace(work, held=held),
            self.relay.list_echoes(now=now),
            reads,
        )
