"""Builders of inventories and hosts, with fakes of membership and of the log."""

from dataclasses import dataclass, field, replace

from thornlatch.configuration import (
    Adapter,
    Configuration,
    ConfigurationSettings,
    Inventory,
    Key,
    Organisation,
    Pool,
    Route,
    Store,
    Target,
    build_snapshot,
    decode_entry,
    digest_key,
)
from thornlatch.core import Member, encode_record

KEYS = tuple(f"key-{n}" for n in range(4))
DIGESTS = tuple(map(digest_key, KEYS))


def build_inventory(*, adapters=2, keys=(0, 1), rate=100.0):
    return Inventory(
        organisations=(Organisation("shop", rate, 1000.0), Organisation("club", 1, 1)),
        keys=tuple(Key(DIGESTS[n], "shop") for n in keys),
        stores=(Store("weights", 5.0, 1, 8, 0.25),),
        pools=(Pool("llm", "engine", "base", "weights"), Pool("api", "plain")),
        targets=(
            Target("llm-1", "llm", "10.0.0.1:8000", "a", adapter_slots=4),
            Target("api-1", "api", "10.0.0.2:8000", "b"),
        ),
        adapters=tuple(
            Adapter(f"adapter-{n}", "v1", "llm", "shop") for n in range(adapters)
        ),
        routes=(Route("/pull", "api"), Route("/pull/reserve", "api", False, False)),
    )


@dataclass
class FakeLeases:
    hosts: tuple[str, ...] = ("a",)
    confirmed: bool = True

    def get_owner(self, key):
        return None

    def get_held_epoch(self, key, *, now):
        return None

    def is_confirmed(self, *, now):
        return self.confirmed

    def iter_members(self):
        return [Member(host, "", "", n) for n, host in enumerate(self.hosts)]

    def iter_possible_holders(self, *, now):
        return self.hosts


@dataclass
class FakeStream:
    """Values of a stream, of which the oldest may be dropped."""

    values: list = field(default_factory=list)
    first: int = 0

    def append(self, record):
        value = record if isinstance(record, dict | str) else encode_record(record)
        self.values.append(value)
        return len(self.values) - 1

    def iter_entries(self, start=0):
        for offset in range(max(start, self.first), len(self.values)):
            yield offset, decode_entry(self.values[offset])


def build_host(name="a", leases=None, **settings):
    return Configuration(
        ConfigurationSettings(**settings), host=name, leases=leases or FakeLeases()
    )


def read_all(host, stream, *, now=0.0, start=0):
    actions = []
    for offset, record in stream.iter_entries(start):
        actions += host.apply_record(offset, record, now=now)
    return actions + host.note_log_read(
        sent_at=now, now=now, next_offset=len(stream.values)
    )


def describe(state):
    """Return the state on which hosts that read the same records must agree."""
    return replace(build_snapshot(state, ""), author="")
