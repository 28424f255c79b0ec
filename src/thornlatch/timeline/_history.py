"""Runs all checks on a merged history."""

from collections.abc import Iterable

from thornlatch.timeline import _fleet_checks as fleet
from thornlatch.timeline import _names as names
from thornlatch.timeline import _request_checks as requests
from thornlatch.timeline._events import LoggedEvent
from thornlatch.timeline._promises import Check, Violation

CHECKS: tuple[type[Check], ...] = (
    fleet.AllowanceCheck,
    fleet.OwnerCheck,
    fleet.PinCheck,
    fleet.LeavingCheck,
    fleet.RevertCheck,
    fleet.WithdrawnKeyCheck,
    requests.AtMostOnceCheck,
    requests.NotRunCheck,
    requests.VersionCheck,
    requests.WholeAnswerCheck,
    requests.PlannedStopCheck,
    requests.OrganisationCheck,
    requests.NoKeyCheck,
)


def check_history(
    events: Iterable[LoggedEvent],
    allowances: Iterable[tuple[str, float, float]] = (),
) -> list[Violation]:
    """Check a history against all promises.

    Parameters
    ----------
    events : iterable of LoggedEvent
        Events in the order given by `merge_events`.
    allowances : iterable of (str, float, float)
        Organisation, rate in tokens per second and burst in tokens that are in force at
        the beginning, for organisations without such an event.

    Returns
    -------
    list of Violation
        Violations in the order of the checks; empty if the events show none.
    """
    checks = [cls() for cls in CHECKS]
    checks_by_event: dict[str, list[Check]] = {}
    for check in checks:
        for name in check.event_names:
            checks_by_event.setdefault(name, []).append(check)
    # The allowance check is the first of `CHECKS`.
    for organisation, rate, burst in allowances:
        detail = {"rate": rate, "burst": burst}
        checks[0].observe(
            LoggedEvent(
                names.ALLOWANCE_IN_FORCE, "", organisation=organisation, detail=detail
            )
        )
    for event in events:
        for check in checks_by_event.get(event.event, ()):
            check.observe(event)
    for check in checks:
        check.finish()
    return [violation for check in checks for violation in check.violations]
