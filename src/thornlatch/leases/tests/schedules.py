"""Schedules of random faults for the simulated fleet, reproducible by seed."""

from dataclasses import replace
from random import Random

from thornlatch.leases.tests.fleet import SETTINGS, Classes, Faults, Fleet, Host

FEW_VOTERS = replace(SETTINGS, full_mesh_limit=2, voter_limit=3)
HISTORY_S = 30.0
HEAL_S = 30.0


def run_history(
    seed: int,
    *,
    classes: Classes = Classes(),  # noqa: B008
    duration_s: float = HISTORY_S,
) -> Fleet:
    """Run a history of faults; ``fleet.history`` has its violations."""
    random = Random(f"schedule {seed}")
    faults = Faults(
        loss=random.choice([0.02, 0.02, 0.15]),
        slow=random.choice([0.02, 0.1]),
        append_late=random.choice([0.05, 0.3]),
        late_s=random.choice([6.0, 25.0]),
    )
    fleet = Fleet(
        seed,
        classes=classes,
        settings=random.choice([SETTINGS, SETTINGS, FEW_VOTERS]),
        faults=faults,
        has_peer_tails=random.random() < 0.6,
    )
    for _ in range(random.choice([3, 4, 5, 5, 6])):
        fleet.start_host()
        fleet.run(random.choice([0.0, 0.3]))
    fleet.run(random.choice([1.0, 4.0]))
    end = fleet.time + duration_s
    while fleet.time < end:
        if seed % 2:
            run_partition(fleet, random)
        else:
            run_random_fault(fleet, random)
    return fleet


def run_random_fault(fleet: Fleet, random: Random) -> None:
    """Add a random fault and sometimes end all faults."""
    random.choice(FAULTS)(fleet, random)
    fleet.run(random.choice([0.2, 1.0, 2.5, 5.0]))
    if random.random() < 0.3:
        heal(fleet)


def run_partition(fleet: Fleet, random: Random) -> None:
    """Cut hosts from the log and from the rest for long, while the rest changes."""
    start_missing_hosts(fleet)
    names = [host.name for host in fleet.running()]
    part = set(random.sample(names, random.randrange(1, len(names))))
    bridges = set(random.sample(names, random.choice([0, 0, 1])))
    fleet.faults.cut_from_log |= part
    end = fleet.time + random.choice([8.0, 12.0, 20.0])
    while fleet.time < end:
        isolate_part(fleet, part, bridges)
        remaining = [host for host in fleet.running() if host.name not in part]
        change_remaining_hosts(fleet, random, remaining)
        isolate_part(fleet, part, bridges)
        fleet.run(random.choice([0.3, 1.0, 2.5]))
    heal(fleet)
    fleet.run(random.choice([1.0, 5.0]))


def isolate_part(fleet: Fleet, part: set[str], bridges: set[str]) -> None:
    """Cut the links between a part and the rest, except for the bridges."""
    for host in part:
        for peer in fleet.hosts.keys() - part - bridges:
            fleet.faults.cut_links |= {(host, peer), (peer, host)}


def change_remaining_hosts(fleet: Fleet, random: Random, remaining: list[Host]) -> None:
    """Let a remaining host crash, close or pause, a new one join, or trim the log."""
    choice = random.random()
    if choice < 0.35 and len(fleet.running()) < 8:
        fleet.start_host()
    elif choice < 0.5 and len(remaining) > 1:
        fleet.crash(random.choice(remaining))
    elif choice < 0.6 and len(remaining) > 1:
        host = random.choice(remaining)
        fleet.close_host(host)
        fleet.schedule(3.0, lambda: fleet.crash(host))
    elif choice < 0.65:
        fleet.trim_log()
    elif choice < 0.8 and remaining:
        fleet.pause(random.choice(remaining), random.choice([0.7, 2.0, 4.0]))


def heal(fleet: Fleet) -> None:
    """End all lasting faults; crashed hosts stay down."""
    fleet.faults.is_log_up = True
    fleet.faults.cut_from_log.clear()
    fleet.faults.cut_links.clear()


def start_missing_hosts(fleet: Fleet, min_count: int = 3) -> None:
    """Start hosts until `min_count` run."""
    while len(fleet.running()) < min_count:
        fleet.start_host()


def _pick_running_host(fleet: Fleet, random: Random) -> Host:
    start_missing_hosts(fleet)
    return random.choice(fleet.running())


def crash(fleet: Fleet, random: Random) -> None:
    fleet.crash(_pick_running_host(fleet, random))


def join(fleet: Fleet, random: Random) -> None:
    if len(fleet.running()) < 7:
        fleet.start_host()


def close(fleet: Fleet, random: Random) -> None:
    host = _pick_running_host(fleet, random)
    fleet.close_host(host)
    fleet.schedule(3.0, lambda: fleet.crash(host))


def release(fleet: Fleet, random: Random) -> None:
    """Let a host release its keys and end its session after a while."""
    host = _pick_running_host(fleet, random)
    fleet.release_keys(host)
    delay_s = random.choice([0.5, 4.0, 12.0])
    fleet.schedule(delay_s, lambda: fleet.close_host(host))
    fleet.schedule(delay_s + 3.0, lambda: fleet.crash(host))


def pause(fleet: Fleet, random: Random) -> None:
    fleet.pause(
        _pick_running_host(fleet, random), random.choice([0.7, 1.5, 3.0, 6.0, 20.0])
    )


def crash_and_start(fleet: Fleet, random: Random) -> None:
    crash(fleet, random)
    fleet.start_host()


def start_log_outage(fleet: Fleet, random: Random) -> None:
    fleet.faults.is_log_up = False
    delay_s = random.choice([1.0, 4.0, 9.0, 18.0])
    fleet.schedule(delay_s, lambda: setattr(fleet.faults, "is_log_up", True))


def cut_from_log(fleet: Fleet, random: Random) -> None:
    fleet.faults.cut_from_log.add(_pick_running_host(fleet, random).name)


def cut_one_way(fleet: Fleet, random: Random) -> None:
    host = _pick_running_host(fleet, random)
    is_outgoing = random.random() < 0.5
    for peer in fleet.running():
        link = (host.name, peer.name) if is_outgoing else (peer.name, host.name)
        fleet.faults.cut_links.add(link)


def cut_pair(fleet: Fleet, random: Random) -> None:
    start_missing_hosts(fleet)
    sender, recipient = random.sample(fleet.running(), 2)
    fleet.faults.cut_links.add((sender.name, recipient.name))


def partition(fleet: Fleet, random: Random) -> None:
    """Cut a part of the fleet from the rest and sometimes from the log."""
    start_missing_hosts(fleet)
    names = [host.name for host in fleet.running()]
    part = set(random.sample(names, random.randrange(1, len(names))))
    for sender in names:
        for recipient in names:
            if (sender in part) != (recipient in part):
                fleet.faults.cut_links.add((sender, recipient))
    if random.random() < 0.7:
        fleet.faults.cut_from_log |= part


def trim(fleet: Fleet, random: Random) -> None:
    """Trim the log and start a host, which may then need a recorded view."""
    fleet.trim_log()
    join(fleet, random)


FAULTS = (
    crash,
    join,
    join,
    close,
    release,
    pause,
    pause,
    crash_and_start,
    start_log_outage,
    cut_from_log,
    cut_one_way,
    cut_pair,
    partition,
    partition,
    trim,
)


def find_unheld_keys(fleet: Fleet, *, heal_s: float = HEAL_S) -> list[str]:
    """Heal the fleet and return the keys that no host held within `heal_s`."""
    fleet.faults = Faults()
    start_missing_hosts(fleet)
    for host in fleet.running():
        host.paused_until = fleet.time
    unheld = set(fleet.keys)
    end = fleet.time + heal_s
    while unheld and fleet.time < end:
        # A process ends when it reads its expulsion, and the platform starts another.
        start_missing_hosts(fleet)
        fleet.run(0.5)
        unheld -= {
            key
            for key in unheld
            for host in fleet.running()
            if host.leases.get_held_epoch(key, now=host.now()) is not None
        }
    return sorted(unheld)
