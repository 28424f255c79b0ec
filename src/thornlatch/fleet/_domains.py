"""Exchange of digests through relays, for fleets too large for a full mesh.

Each host sends its digest to two relays of its failure domain. A relay aggregates them,
sends the domain's digest to the relays of the other domains, and the digest of all
domains to its own hosts. A host thus exchanges digests with two others, however large
the fleet is. Any host may become a relay.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from thornlatch.fleet._digests import HeldTarget, HostDigest
from thornlatch.fleet._domain_choice import (
    DomainDigestSelector,
    ExchangeSettings,
    Member,
    choose_by_capacity,
)
from thornlatch.fleet._domain_messages import DomainDigest, FleetDigest, sum_work
from thornlatch.fleet._domain_relay import DomainRelay


class DomainExchange:
    """Determines the messages that a host of a large fleet sends in each turn.

    In each turn, once in `timing.period_s`, the host sends its digest. One thread uses
    the class, except for `get_relays`, which is thread-safe.

    Parameters
    ----------
    settings : ExchangeSettings
    host : str
        This host's id.
    domain : str
        Failure domain of this host.
    capacity : float
        Capacity of this host as in `Member`.
    """

    def __init__(
        self, settings: ExchangeSettings, *, host: str, domain: str, capacity: float
    ) -> None:
        self.settings = settings
        self.host = host
        self.domain = domain
        self.capacity = capacity
        self.members: dict[str, Member] = {}
        self.timing = settings.compute_timing(1)
        self.relay = DomainRelay(domain, host, self.timing.silent_s)
        self.selector = DomainDigestSelector(self.timing.silent_s)
        # Reports of holders in other domains since the previous turn, by target.
        self.pending_reports: dict[str, tuple[str, HeldTarget]] = {}
        # Time of the first message to a relay that it hasn't replied to.
        self.unanswered_since: dict[str, float] = {}
        # Time until which a relay that didn't reply isn't chosen.
        self.suspected_until: dict[str, float] = {}
        self.turn_count = 0

    def set_members(self, peers: dict[str, Member]) -> None:
        """Set the other hosts.

        Parameters
        ----------
        peers : dict of str to Member
            Members by host id, without this host.
        """
        own_member = Member("", self.domain, self.capacity)
        self.members = {**peers, self.host: own_member}
        self.timing = self.settings.compute_timing(len(self.members))
        self.relay.silent_s = self.selector.silent_s = self.timing.silent_s
        self.relay.retain_hosts(self.members)
        self.unanswered_since = {
            host: since
            for host, since in self.unanswered_since.items()
            if host in self.members
        }
        self.suspected_until = {
            host: until
            for host, until in self.suspected_until.items()
            if host in self.members
        }

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for a full mesh."""
        return len(self.members) > self.settings.mesh_hosts

    def is_orderer(self, silent: Iterable[str], *, orders_now: bool) -> bool:
        """Return whether this host is among those that order adapters.

        Parameters
        ----------
        silent : iterable of str
            Hosts that may have failed.
        orders_now : bool
            Whether this host orders adapters now.

        Returns
        -------
        bool
        """
        settings = self.settings
        count = settings.orderers + settings.orderers_margin * orders_now
        return self.host in choose_by_capacity(self.members, None, silent, count)

    def get_relays(self, domain: str, *, now: float) -> list[str]:
        """Return the relays of a domain in order of preference.

        Parameters
        ----------
        domain : str
        now : float

        Returns
        -------
        list of str
            Host ids, the first relay first.
        """
        # Copied, since other threads call this while the owning thread modifies it.
        suspects = [
            host for host, until in list(self.suspected_until.items()) if now < until
        ]
        return choose_by_capacity(self.members, domain, suspects, self.settings.relays)

    def handle_message(self, sender: str, message: Any, *, now: float) -> bool:
        """Handle a message of another host if it is addressed to a relay.

        Parameters
        ----------
        sender : str
        message : object
        now : float

        Returns
        -------
        bool
            Whether it was handled.
        """
        self.unanswered_since.pop(sender, None)
        self.suspected_until.pop(sender, None)
        if isinstance(message, HostDigest):
            self.relay.apply_digest(sender, message, now=now)
            return True
        if isinstance(message, DomainDigest):
            self._apply_domain_digest(message, now)
            return True
        return False

    def _apply_domain_digest(self, message: DomainDigest, now: float) -> None:
        if message.spending.domain == self.domain:
            return
        if self.selector.add(message, now=now):
            held = message.work.held
            self.pending_reports.update(
                {report.target: (holder, report) for holder, report in held}
            )

    def run_turn(
        self, digest: HostDigest, *, now: float
    ) -> tuple[list[tuple[str, Any]], list[Any]]:
        """Return the messages to send in a turn, and those for this host itself.

        Parameters
        ----------
        digest : HostDigest
            Digest of this host.
        now : float

        Returns
        -------
        (list of (str, object), list of object)
            Recipients and messages, and messages of this host as a relay to itself.
        """
        self.turn_count += 1
        self._suspect_unresponsive_relays(now)
        outgoing: list[tuple[str, Any]] = []
        relays = self.get_relays(self.domain, now=now)
        is_spare_turn = self.turn_count % self.timing.spare_turns == 0
        for relay in relays:
            # A spare relay sends only in spare turns and needs a digest only then, but
            # it needs all reports of holders, which later digests may not repeat.
            is_due = relay == relays[0] or is_spare_turn or bool(digest.held)
            if relay != self.host and is_due:
                outgoing.append((relay, digest))
                self.unanswered_since.setdefault(relay, now)
        served_hosts = [
            host for host in self.relay.list_live(now=now) if host != self.host
        ]
        if self.host not in relays and not served_hosts:
            return outgoing, []
        self.relay.apply_digest(self.host, digest, now=now)
        is_spare = bool(relays) and relays[0] != self.host
        if is_spare and not is_spare_turn:
            return outgoing, []
        relayed, for_self = self._build_relay_messages(
            digest, served_hosts, is_spare, now
        )
        return outgoing + relayed, for_self

    def _suspect_unresponsive_relays(self, now: float) -> None:
        for host, since in list(self.unanswered_since.items()):
            if now - since >= self.timing.silent_s:
                del self.unanswered_since[host]
                self.suspected_until[host] = now + self.settings.suspect_s

    def _build_relay_messages(
        self,
        digest: HostDigest,
        served_hosts: Sequence[str],
        is_spare: bool,
        now: float,
    ) -> tuple[list[tuple[str, Any]], list[Any]]:
        own_domain = self.relay.build_digest(is_spare=is_spare, now=now)
        outgoing: list[tuple[str, Any]] = []
        other_domains = {member.domain for member in self.members.values()} - {
            self.domain
        }
        for domain in sorted(other_domains):
            for relay in self.get_relays(domain, now=now):
                outgoing.append((relay, own_domain))
                self.unanswered_since.setdefault(relay, now)
        message = self._build_fleet_digest(own_domain, digest, now)
        outgoing += [(host, message) for host in served_hosts]
        for_self: list[Any] = [message]
        by_holder = self.relay.build_target_uses(message.work.held_names, now=now)
        for holder, uses in by_holder.items():
            if holder == self.host:
                for_self.append(uses)
            elif holder in self.members:
                outgoing.append((holder, uses))
        return outgoing, for_self

    def _build_fleet_digest(
        self, own_domain: DomainDigest, own: HostDigest, now: float
    ) -> FleetDigest:
        digests = [own_domain, *self.selector.select(now=now)]
        work = sum_work(digest.work for digest in digests)
        held = (*own_domain.work.held, *self.pending_reports.values())
        self.pending_reports = {}
        return FleetDigest(
            self.host,
            now,
            tuple(digest.spending for digest in digests),
            replace(work, held=held),
            self.relay.list_echoes(now=now),
            own.reads,
            own.store,
        )
