"""Embeds the admission slice: two hosts share the rate of one organisation.

Run ``python examples/embed_admission.py``. The slice does no I/O: it takes messages and
the time and returns actions. This example delivers them through a queue in memory; a
real program would use its own transport, and `thornlatch.leases` to agree on the owner.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from thornlatch.admission import Admission, AdmissionSettings, Admitted, Allowance
from thornlatch.core import Action, Member, Owner, Resolve, Send

KEY = "organisation:shop"
TICK_S = 0.05


@dataclass(frozen=True)
class FixedLeases:
    """Leases that never change: the first host owns every key."""

    hosts: tuple[str, ...]
    host: str

    def get_owner(self, key: str) -> Owner | None:
        """Return the first host as the owner."""
        return Owner(self.hosts[0], 0)

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return the epoch if this host is the owner."""
        return 0 if self.host == self.hosts[0] else None

    def is_confirmed(self, *, now: float) -> bool:
        """Return True: this host may always use its share."""
        return True

    def iter_members(self) -> Iterator[Member]:
        """Iterate over the hosts."""
        for offset, host in enumerate(self.hosts):
            yield Member(host, "127.0.0.1:1", "domain", offset)

    def iter_possible_holders(self, *, now: float) -> Iterator[str]:
        """Iterate over the hosts that may hold a share."""
        yield from self.hosts


@dataclass
class Fleet:
    """Hosts that exchange messages through a queue in memory."""

    hosts: dict[str, Admission]
    undelivered: deque[tuple[str, Send]] = field(default_factory=deque)
    outcomes: dict[str, object] = field(default_factory=dict)

    def perform(self, host: str, actions: list[Action]) -> None:
        """Queue the messages and record the decisions of a host."""
        for action in actions:
            if isinstance(action, Send):
                self.undelivered.append((host, action))
            elif isinstance(action, Resolve):
                self.outcomes[action.ticket] = action.value

    def advance(self, now: float) -> None:
        """Advance all hosts to `now` and deliver the messages that they send."""
        for name, host in self.hosts.items():
            self.perform(name, host.tick(now=now))
        while self.undelivered:
            sender, send = self.undelivered.popleft()
            recipient = self.hosts[send.recipient]
            actions = recipient.handle(send.message, sender=sender, now=now)
            self.perform(send.recipient, actions)


def run(seconds: float = 10.0, *, rate: float = 100.0, burst: float = 200.0) -> float:
    """Offer twice the rate over both hosts and return the number of tokens admitted.

    Rates are in tokens per second.
    """
    names = ("north", "south")
    settings = AdmissionSettings()
    fleet = Fleet(
        {
            name: Admission(settings, host=name, leases=FixedLeases(names, name))
            for name in names
        }
    )
    for host in fleet.hosts.values():
        host.set_allowances({KEY: Allowance(rate, burst)}, offset=0, now=0.0)
    random = Random(1)
    now, request_count = 0.0, 0
    while now < seconds:
        now += TICK_S
        fleet.advance(now)
        for _ in range(2):
            request_count += 1
            name = random.choice(names)
            actions = fleet.hosts[name].admit(
                f"request-{request_count}",
                organisation="shop",
                tokens=rate * TICK_S,
                deadline=now + 1.0,
                now=now,
            )
            fleet.perform(name, actions)
    admitted = [v for v in fleet.outcomes.values() if isinstance(v, Admitted)]
    return sum(outcome.tokens for outcome in admitted)


if __name__ == "__main__":
    print(f"admitted {run():.0f} of 2000 tokens in 10 s at 100 tokens/s")
