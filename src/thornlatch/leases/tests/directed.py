"""Schedules aimed at one fault each, returning the fleet after the last step."""

from thornlatch.leases.tests.fleet import Classes, Faults, Fleet, Host
from thornlatch.membership import Accused, Defended, Expelled

START_S = 4.0
NO_NETWORK_FAULTS = {"loss": 0.0, "duplication": 0.0, "slow": 0.0}
NO_LOG_FAULTS = {"append_loss": 0.0, "append_repeat": 0.0, "append_late": 0.0}


def start_fleet(
    seed: int, count: int, classes: Classes, *, has_peer_tails: bool = False
) -> tuple[Fleet, list[Host]]:
    """Start hosts until all are voters."""
    fleet = Fleet(
        seed,
        classes=classes,
        has_peer_tails=has_peer_tails,
        faults=Faults(**NO_NETWORK_FAULTS, **NO_LOG_FAULTS),
    )
    hosts = [fleet.start_host() for _ in range(count)]
    fleet.run(START_S)
    while any(len(host.membership.view.voters) < count for host in hosts):
        fleet.run(0.5)
        if fleet.time > 10 * START_S:
            raise AssertionError(f"not all of {count} hosts became voters in time")
    return fleet, hosts


def cut_majority_from_log(seed: int, classes: Classes) -> Fleet:
    """Cut a majority from the log; it stays confirmed while members are expelled."""
    fleet, hosts = start_fleet(seed, 5, classes)
    isolated, last, remaining = hosts[:2], hosts[2], hosts[3:]
    fleet.cut_log([*isolated, last])
    fleet.cut(isolated, remaining)
    while len(fleet.read_records(Expelled)) < 2 and fleet.time < START_S + 12:
        fleet.run(0.1)
    fleet.cut([last], remaining)
    fleet.run(5.0)
    return fleet


def join_beside_cut_majority(seed: int, classes: Classes) -> Fleet:
    """Cut two of three hosts from the log and the third, which sees two hosts join."""
    fleet, hosts = start_fleet(seed, 3, classes)
    part, remaining = hosts[:2], hosts[2:]
    fleet.cut_log(part)
    fleet.cut(part, remaining)
    joiners = [fleet.start_host(), fleet.start_host()]
    fleet.cut(part, joiners)
    fleet.run(9.0)
    return fleet


def grow_past_cut_host(seed: int, classes: Classes) -> Fleet:
    """Let a host hear only one voter, which has read of more voters."""
    fleet, hosts = start_fleet(seed, 3, classes)
    isolated, bridge, unreachable = hosts
    fleet.cut_log([isolated])
    fleet.cut([isolated], [unreachable])
    joiners = [fleet.start_host(), fleet.start_host()]
    fleet.cut([isolated], joiners)
    while len(bridge.membership.view.voters) < 5:
        fleet.run(0.02)
        if isolated.name not in bridge.membership.view.members:
            raise AssertionError(
                "the host was expelled before five voters were elected"
            )
    fleet.cut_log([bridge])
    fleet.run(9.0)
    return fleet


def cut_accusers(seed: int, classes: Classes) -> Fleet:
    """Cut two accusers from the log together with the host that they accused."""
    fleet, hosts = start_fleet(seed, 5, classes)
    accused, accusers, remaining = hosts[0], hosts[1:3], hosts[3:]
    part = [accused, *accusers]
    fleet.cut([accused], accusers)
    while len(fleet.read_records(Accused)) < 2 or not _have_read_all(fleet, part):
        fleet.run(0.01)
        if fleet.time > 20 * START_S or fleet.read_records(Defended):
            raise AssertionError(
                "the host was not accused twice, or defended itself too early"
            )
    fleet.cut_log(part)
    fleet.faults.cut_links.clear()
    fleet.cut(part, remaining)
    fleet.run(8.0)
    return fleet


def accuse_beside_unread_promotion(seed: int, classes: Classes) -> Fleet:
    """Cut off the first voter before it reads that there is a second."""
    for attempt in range(seed, seed + 50):
        fleet = Fleet(
            attempt,
            classes=classes,
            faults=Faults(**NO_NETWORK_FAULTS, **NO_LOG_FAULTS),
        )
        first = fleet.start_host()
        while not first.membership.view.voters:
            fleet.run(0.01)
        second = fleet.start_host()
        while len(second.membership.view.voters) < 2:
            fleet.run(0.002)
        fleet.cut_log([first])
        fleet.cut([first], [second])
        fleet.run(12.0)
        if len(first.membership.view.voters) < 2:
            return fleet
    raise AssertionError("in all 50 attempts the first host read of the second voter")


def expel_beside_supporter(seed: int, classes: Classes) -> Fleet:
    """Let one of three hosts expel a host that another still supports."""
    fleet, hosts = start_fleet(seed, 3, classes)
    isolated, supporter, remaining = hosts
    fleet.cut_log([isolated, supporter])
    fleet.cut([isolated, supporter], [remaining])
    fleet.run(9.0)
    return fleet


def _have_read_all(fleet: Fleet, hosts: list[Host]) -> bool:
    last = len(fleet.log) - 1
    return all(host.membership.view.offset == last for host in hosts)


DIRECTED = {
    "expelled_voters_uncounted": cut_majority_from_log,
    "joiner_votes": join_beside_cut_majority,
    "newer_view_counted": grow_past_cut_host,
    "accused_supported": cut_accusers,
    "tie_unacknowledged": accuse_beside_unread_promotion,
    "less_than_half": expel_beside_supporter,
}
