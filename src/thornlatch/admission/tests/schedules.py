"""Seeded random histories of a fleet with faults."""

import random
from collections.abc import Callable

from thornlatch.admission import Admission, AdmissionSettings, Admitted, Allowance
from thornlatch.admission.tests.fleet import Fleet, Network, Spending

KEY = "organisation:a"
STORE = "store:w"
RATE = 2000.0
BURST = 4000.0
SLOTS = 4


class History:
    """Drives one fleet by one seed.

    Most seeds request more than the rate, so that a share that two hosts hold is spent
    twice. Requests also reach expelled hosts that have not read of it.
    """

    def __init__(
        self,
        seed: int,
        *,
        hosts: int = 4,
        duration_s: float = 4.0,
        make_admission: Callable[..., Admission] = Admission,
    ) -> None:
        self.random = random.Random(seed)
        loss = self.random.choice([0.0, 0.0, 0.1, 0.3])
        network = Network(loss=loss, duplicates=loss, late=loss / 3)
        # Refusing fewer unservable requests at once makes more of them compete.
        settings = AdmissionSettings(exhaustion_valid_s=0.05)
        self.fleet = Fleet(
            seed,
            hosts,
            settings=settings,
            network=network,
            make_admission=make_admission,
        )
        self.duration_s = duration_s
        self.tickets = 0
        self.loads: set[tuple[str, int]] = set()
        self.max_loads = 0
        self.request_rate = self.random.choice([2.0, 12.0, 12.0])
        self.fleet.on_admitted = self.schedule_settlement
        self.configure()
        self.fleet.set_owner(KEY, "h0")
        self.fleet.set_owner(STORE, "h1")

    def configure(self) -> None:
        factor = self.random.choice([1.0, 1.0, 0.5, 2.0])
        self.fleet.configure(
            {
                KEY: Allowance(RATE * factor, BURST * self.random.choice([factor, 1])),
                STORE: Allowance(20.0, 2.0, SLOTS),
            }
        )

    def run(self) -> Fleet:
        fault_at = 0.5
        while self.fleet.time < self.duration_s:
            gap_s = self.random.expovariate(self.request_rate)
            self.fleet.run_until(self.fleet.time + gap_s)
            if self.fleet.time > fault_at:
                fault_at += self.random.uniform(0.2, 1.0)
                self.inject_fault()
            self.request()
        self.fleet.run_until(self.fleet.time + 1.0)
        return self.fleet

    def request(self) -> None:
        live = [
            host.name for host in self.fleet.hosts.values() if host.state != "stopped"
        ]
        if not live:
            return
        host = live[int(len(live) * self.random.random() ** 2)]
        tokens = self.random.choice([50, 200, 400, 800, BURST * 0.7, BURST])
        tokens = min(tokens, self.random.choice([500, BURST]))
        self.tickets += 1
        deadline_s = self.random.choice([0.1, 60.0])
        ticket = f"r{self.tickets}"
        self.fleet.admit(host, ticket, tokens, deadline_s=deadline_s)
        self.load(self.random.choice(live))

    def load(self, name: str) -> None:
        """Request loads at a host, and start and later end one of them."""
        fleet, host = self.fleet, self.fleet.hosts[name]
        if host.state != "running":
            return
        now = host.now(fleet.time)
        budget = host.admission.get_load_budget("w", now=now)
        fleet.carry_out(
            host, budget.set_waiting_loads(self.random.choice([0, 1, 3]), now=now)
        )
        if not budget.try_acquire(now=now):
            return
        self.tickets += 1
        fleet.spendings[f"l{self.tickets}"] = Spending(
            fleet.time, name, STORE, 1_000_000
        )
        load = (name, self.tickets)
        self.loads.add(load)
        self.update_max_loads()
        duration_s = self.random.uniform(0.1, 1.5)
        fleet.at(duration_s, lambda: fleet.run_on(host, lambda: self.end_load(load)))

    def end_load(self, load: tuple[str, int]) -> None:
        host = self.fleet.hosts[load[0]]
        self.loads.discard(load)
        now = host.now(self.fleet.time)
        host.admission.get_load_budget("w", now=now).release(now=now)

    def update_max_loads(self) -> None:
        """Track the maximum of loads in flight, except those of expired hosts."""
        counted = [
            name for name, _ in self.loads if name not in self.fleet.expired_hosts
        ]
        self.max_loads = max(self.max_loads, len(counted))

    def schedule_settlement(self, host: str, admitted: Admitted) -> None:
        if self.random.random() < 0.5:
            used = admitted.tokens * self.random.random()
            delay_s = self.random.uniform(0.01, 2.0)
            self.fleet.at(delay_s, lambda: self.fleet.settle(host, admitted, used))

    def inject_fault(self) -> None:
        fleet = self.fleet
        live = [name for name in fleet.hosts if fleet.is_live(name)]
        if len(live) < 2:
            return
        name = self.random.choice(live)
        owner = fleet.owners[KEY]
        if self.random.random() < 0.4:
            name = owner
        faults = [
            self.kill,
            self.pause,
            self.pause_and_expel,
            self.partition,
            self.partition_pair,
            self.move,
            self.move,
            self.reconfigure,
            self.join,
            self.stop,
        ]
        if self.fleet.is_live(name):
            self.random.choice(faults)(name)

    def kill(self, name: str) -> None:
        self.fleet.kill(name)
        self.fleet.at(self.random.uniform(0, 1), lambda: self.fleet.expel(name))
        self.join(name)

    def pause(self, name: str) -> None:
        self.fleet.pause(name, self.random.uniform(0.05, 2.0))

    def pause_and_expel(self, name: str) -> None:
        self.fleet.pause(name, self.random.uniform(0.5, 3.0))
        self.fleet.at(self.random.uniform(0, 0.5), lambda: self.fleet.expel(name))
        self.join(name)

    def partition(self, name: str) -> None:
        host = self.fleet.hosts[name]
        host.is_partitioned = True
        if self.random.random() < 0.5:
            self.fleet.at(0.5, lambda: self.fleet.expel(name))
            self.join(name)
        duration_s = self.random.uniform(0.2, 3.0)
        self.fleet.at(duration_s, lambda: setattr(host, "is_partitioned", False))

    def partition_pair(self, name: str) -> None:
        other = self.random.choice(list(self.fleet.hosts))
        pair = frozenset((name, other))
        self.fleet.partitions.add(pair)
        self.fleet.at(1.0, lambda: self.fleet.partitions.discard(pair))

    def move(self, name: str) -> None:
        live = [host for host in self.fleet.hosts if self.fleet.is_live(host)]
        self.fleet.move_owner(KEY, self.random.choice(live))

    def reconfigure(self, name: str) -> None:
        self.configure()

    def join(self, name: str) -> None:
        self.fleet.add_host(f"h{len(self.fleet.hosts)}")

    def stop(self, name: str) -> None:
        self.fleet.close(name)
        self.join(name)
