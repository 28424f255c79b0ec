"""Seeded histories of an in-memory fleet under faults."""

from random import Random

from thornlatch.dispatch import Dispatch, DispatchSettings, Outcome, Priority
from thornlatch.dispatch.tests.fleet import Fleet, make_spec
from thornlatch.placement import PlacementSettings

ADAPTERS = "abcdef"
OUTCOMES = [Outcome.OK] * 6 + [
    Outcome.CANCELLED,
    Outcome.UNKNOWN,
    Outcome.FAILED,
    Outcome.NOT_LOADED,
    Outcome.BUSY,
]
SETTINGS = DispatchSettings(orphan_pin_s=10.0, owner_wait_s=3.0)
PLACEMENT = PlacementSettings(order_limit_s=2.0, load_limit_s=1.0)


class Driver:
    """Applies single steps and faults to a fleet."""

    def __init__(self, make_dispatch=Dispatch):
        self.fleet = Fleet(
            hosts=3, settings=SETTINGS, placement=PLACEMENT, make_dispatch=make_dispatch
        )
        self.count = 0
        self.stale_reports = []

    def list_running_hosts(self):
        return sorted(set(self.fleet.hosts) - self.fleet.view.paused)

    def request(self, choice, adapter, is_batch):
        hosts = self.list_running_hosts()
        self.count += 1
        priority = Priority.BATCH if is_batch else Priority.INTERACTIVE
        spec = make_spec(
            f"r{self.count}", adapter, priority=priority, deadline_in_s=20.0
        )
        self.fleet.request(hosts[choice % len(hosts)], spec)

    def finish(self, choice, outcome):
        grants = [
            grant
            for grant, (host, _) in self.fleet.uses.items()
            if host in self.fleet.hosts and host not in self.fleet.view.paused
        ]
        if grants:
            self.fleet.finish(grants[choice % len(grants)], outcome)

    def deliver(self, choice, *, keep=False):
        if self.fleet.network:
            self.fleet.deliver(choice % len(self.fleet.network), keep=keep)

    def drop_message(self, choice):
        if self.fleet.network:
            del self.fleet.network[choice % len(self.fleet.network)]

    def execute_order(self, choice, *, is_lost=False):
        if self.fleet.orders:
            index = choice % len(self.fleet.orders)
            self.fleet.execute_order(index, is_lost=is_lost)

    def advance(self, seconds):
        self.fleet.now += seconds
        self.fleet.tick()

    def advance_with_delivery(self, seconds):
        self.fleet.advance(seconds, step=0.25)

    def report(self):
        self.fleet.poll_targets()

    def capture_report(self, choice):
        names = sorted(self.fleet.engines)
        name = names[choice % len(names)]
        self.stale_reports.append((name, self.fleet.make_report(name)))

    def deliver_stale_report(self):
        if not self.stale_reports:
            return
        name, report = self.stale_reports.pop(0)
        for host in self.list_running_hosts():
            dispatch = self.fleet.hosts[host]
            actions = dispatch.note_target_report(name, report, now=self.fleet.now)
            self.fleet.apply_actions(host, actions)

    def restart_engine(self, choice):
        names = sorted(self.fleet.engines)
        self.fleet.engines[names[choice % len(names)]].restart()

    def fail_engine(self, choice):
        names = sorted(self.fleet.engines)
        for host in self.list_running_hosts():
            dispatch = self.fleet.hosts[host]
            name = names[choice % len(names)]
            self.fleet.apply_actions(
                host, dispatch.mark_target_down(name, now=self.fleet.now)
            )

    def pause(self, choice):
        running = self.list_running_hosts()
        host = running[choice % len(running)]
        if len(running) > 1:
            self.fleet.view.paused.add(host)

    def resume(self):
        if self.fleet.view.paused:
            self.fleet.resume(min(self.fleet.view.paused))

    def expel_paused(self):
        members = set(self.fleet.view.members)
        paused = sorted(self.fleet.view.paused & members)
        if paused and members - self.fleet.view.paused:
            self.fleet.expel(paused[0])

    def kill(self, choice):
        running = self.list_running_hosts()
        host = running[choice % len(running)]
        if set(self.fleet.view.members) - {host}:
            self.fleet.kill(host)
            self.fleet.add_host()

    def change_owner(self, choice):
        members = sorted(set(self.fleet.view.members) - self.fleet.view.paused)
        if members and self.fleet.view.owner.host not in self.fleet.view.paused:
            self.fleet.set_owner(members[choice % len(members)])

    def mark_leaving(self, choice):
        if not self.fleet.leaving_since:
            names = sorted(self.fleet.engines)
            self.fleet.mark_leaving(names[choice % len(names)])


def run_history(seed, make_dispatch=Dispatch, steps=400):
    """Run a seeded history and return the first violation, or None."""
    random = Random(seed)
    driver = Driver(make_dispatch)
    weighted_steps = [
        (
            8,
            lambda: driver.request(
                random.randrange(9), random.choice(ADAPTERS), random.random() < 0.3
            ),
        ),
        (6, lambda: driver.finish(random.randrange(9), random.choice(OUTCOMES))),
        (12, lambda: driver.deliver(random.randrange(40), keep=random.random() < 0.1)),
        (1, lambda: driver.drop_message(random.randrange(40))),
        (
            6,
            lambda: driver.execute_order(
                random.randrange(9), is_lost=random.random() < 0.1
            ),
        ),
        (6, lambda: driver.advance(random.choice([0.05, 0.3, 1.0]))),
        (4, lambda: driver.advance_with_delivery(random.choice([0.25, 0.5, 1.0]))),
        (4, driver.report),
        (1, lambda: driver.capture_report(random.randrange(9))),
        (1, driver.deliver_stale_report),
        (0.3, lambda: driver.restart_engine(random.randrange(9))),
        (0.2, lambda: driver.fail_engine(random.randrange(9))),
        (0.5, lambda: driver.pause(random.randrange(9))),
        (1, driver.resume),
        (0.3, driver.expel_paused),
        (0.3, lambda: driver.kill(random.randrange(9))),
        (0.5, lambda: driver.change_owner(random.randrange(9))),
        (0.05, lambda: driver.mark_leaving(random.randrange(9))),
    ]
    weights = [weight for weight, _ in weighted_steps]
    for _ in range(steps):
        random.choices([step for _, step in weighted_steps], weights)[0]()
        if driver.fleet.violations:
            return driver.fleet.violations[0]
    return None
