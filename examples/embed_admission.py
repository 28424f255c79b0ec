"""Two hosts share one organisation's rate: the admission slice in a program of yours.

Run ``python examples/embed_admission.py``. The slice is pure: it takes messages and the
time and returns actions. This program carries them out over a list in memory; yours
would use its own transport, and `thornlatch.leases` to agree on the owner.
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
    """Says that the first of the hosts owns every key, for ever."""

    hosts: tuple[str, ...]
    host: str

    def get_owner(self, key: str) -> Owner | None:
        """Return the owner."""
        return Owner(self.hosts[0], 0)

    def get_held_epoch(self, key: str, *, now: float) -> int | None:
        """Return the epoch if this host is the owner."""
        return 0 if self.host == self.hosts[0] else None

    def is_confirmed(self, *, now: float) -> bool:
        """Return that this host may use its part."""
        return True

    def iter_members(self) -> Iterator[Member]:
        """Iterate over the hosts."""
        for offset, host in enumerate(self.hosts):
            yield Member(host, "127.0.0.1:1", "domain", offset)

    def iter_possible_holders(self, *, now: float) -> Iterator[str]:
        """Iterate over the hosts that may have a part."""
        yield from self.hosts


@dataclass
class Fleet:
    """Hosts that hand each other their messages."""

    hosts: dict[str, Admission]
    waiting: deque[tuple[str, Send]] = field(default_factory=deque)
    outcomes: dict[str, object] = field(default_factory=dict)

    def carry_out(self, host: str, actions: list[Action]) -> None:
        """Queue messages and note decisions."""
        for action in actions:
            if isinstance(action, Send):
                self.waiting.append((host, action))
            elif isinstance(action, Resolve):
                self.outcomes[action.ticket] = action.value

    def advance(self, now: float) -> None:
        """Let time pass at all hosts and deliver what they send."""
        for name, host in self.hosts.items():
            self.carry_out(name, host.tick(now=now))
        while self.waiting:
            sender, sent = self.waiting.popleft()
            recipient = self.hosts[sent.recipient]
            actions = recipient.handle(sent.message, sender=sender, now=now)
            self.carry_out(sent.recipient, actions)


def run(seconds: float = 10.0, *, rate: float = 100.0, burst: float = 200.0) -> float:
    """Offer twice the rate at both hosts and return the tokens that were admitted."""
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
    now, number = 0.0, 0
    while now < seconds:
        now += TICK_S
        fleet.advance(now)
        for _ in range(2):
            number += 1
            name = random.choice(names)
            actions = fleet.hosts[name].admit(
                f"request-{number}",
                organisation="shop",
                tokens=rate * TICK_S,
                deadline=now + 1.0,
                now=now,
            )
            fleet.carry_out(name, actions)
    admitted = [v for v in fleet.outcomes.values() if isinstance(v, Admitted)]
    return sum(value.tokens for value in admitted)


if __name__ == "__main__":
    print(f"{run():.0f} of 2000 tokens were admitted in 10 s at 100 a second")
