"""Checks of executions, refusals, answers and planned stops."""

from thornlatch.timeline import _names as names
from thornlatch.timeline._events import LoggedEvent
from thornlatch.timeline._promises import Check, Promise

NOT_RUN = "not-run"


class AtMostOnceCheck(Check):
    """Finds non-idempotent requests that ran more than once.

    Requests of an organisation with the same idempotency key count together.
    """

    promise = Promise.AT_MOST_ONCE
    event_names = (names.REQUEST_SENT, names.REQUEST_RUN)

    def __init__(self) -> None:
        super().__init__()
        self.group_by_request: dict[str, str] = {}
        self.runs: dict[str, list[LoggedEvent]] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Collect executions, and the requests that must not be repeated."""
        if event.event == names.REQUEST_RUN:
            self.runs.setdefault(event.request, []).append(event)
        elif event.detail.get("idempotent") is False:
            key = event.detail.get("idempotency_key")
            group = f"{event.organisation}\0{key}" if key else event.request
            self.group_by_request[event.request] = group

    def finish(self) -> None:
        """Count the executions of each group.

        The clocks of targets may differ, so an execution may appear in the history
        before the request was sent.
        """
        runs_by_group: dict[str, list[LoggedEvent]] = {}
        for request, group in self.group_by_request.items():
            runs_by_group.setdefault(group, []).extend(self.runs.get(request, ()))
        for runs in runs_by_group.values():
            if len(runs) > 1:
                requests = ", ".join(sorted({run.request for run in runs}))
                self.report(requests, f"ran {len(runs)} times", *runs)


class NotRunCheck(Check):
    """Finds requests that were refused as "not run" although a target ran them."""

    promise = Promise.NOT_RUN
    event_names = (names.REQUEST_REFUSED, names.REQUEST_RUN)

    def __init__(self) -> None:
        super().__init__()
        self.refused: dict[str, LoggedEvent] = {}
        self.ran: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Collect refusals and executions."""
        if event.event == names.REQUEST_RUN:
            self.ran.setdefault(event.request, event)
        elif event.detail.get("execution") == NOT_RUN:
            self.refused[event.request] = event

    def finish(self) -> None:
        """Find the refused requests among the executed ones."""
        for request in sorted(self.refused.keys() & self.ran.keys()):
            run, refused = self.ran[request], self.refused[request]
            message = f"was refused as not run although it ran at {run.target}"
            self.report(request, message, run, refused)


class VersionCheck(Check):
    """Finds answers of a different adapter or version than requested."""

    promise = Promise.RIGHT_VERSION
    event_names = (names.REQUEST_ANSWERED,)

    def observe(self, event: LoggedEvent) -> None:
        """Compare the answering version with the requested one."""
        version, requested = event.detail.get("version"), event.detail.get("requested")
        if version != requested:
            message = f"{requested} was requested, but {version} answered"
            self.report(event.request, message, event)


class WholeAnswerCheck(Check):
    """Finds streams with gaps, repeated tokens or a missing end."""

    promise = Promise.WHOLE_ANSWER
    event_names = (names.TOKENS_PASSED, names.REQUEST_ANSWERED)

    def __init__(self) -> None:
        super().__init__()
        self.last_passed: dict[tuple[str, str], LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Check that the tokens are contiguous and complete."""
        stream = (event.host, event.request)
        last = self.last_passed.get(stream)
        expected = _get_end(last) if last is not None else 0
        events = (last, event) if last is not None else (event,)
        if event.event == names.TOKENS_PASSED:
            first = event.get_number("first")
            if first != expected:
                message = f"token {expected} was expected, but {first} was passed on"
                self.report(event.request, message, *events)
            self.last_passed[stream] = event
        elif last is not None and event.detail.get("tokens", expected) != expected:
            message = f"{expected} of {event.detail['tokens']} tokens were passed on"
            self.report(event.request, message, *events)


class PlannedStopCheck(Check):
    """Finds requests that a planned stop left without an outcome."""

    promise = Promise.PLANNED_STOP
    event_names = (
        names.REQUEST_ACCEPTED,
        names.REQUEST_ANSWERED,
        names.REQUEST_REFUSED,
        names.REQUEST_ENDED,
        names.STOPPED,
    )

    def __init__(self) -> None:
        super().__init__()
        self.open_requests: dict[str, dict[str, LoggedEvent]] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Track open requests and check for them when a host stops."""
        requests = self.open_requests.setdefault(event.host, {})
        if event.event == names.REQUEST_ACCEPTED:
            requests[event.request] = event
        elif event.event == names.STOPPED:
            for request, accepted in requests.items():
                message = f"{event.host} stopped without answering it"
                self.report(request, message, accepted, event)
        else:
            requests.pop(event.request, None)


class OrganisationCheck(Check):
    """Finds requests that ran for a different organisation than that of their key."""

    promise = Promise.OWN_ORGANISATION
    event_names = (names.REQUEST_ACCEPTED, names.REQUEST_RUN)

    def __init__(self) -> None:
        super().__init__()
        self.accepted: dict[str, LoggedEvent] = {}
        self.ran: dict[str, list[LoggedEvent]] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Collect accepted requests and executions."""
        if event.event == names.REQUEST_ACCEPTED:
            self.accepted[event.request] = event
        elif event.organisation:
            self.ran.setdefault(event.request, []).append(event)

    def finish(self) -> None:
        """Compare the organisations of the acceptance and of each execution."""
        for request, runs in self.ran.items():
            accepted = self.accepted.get(request)
            for run in runs:
                if accepted and accepted.organisation != run.organisation:
                    message = (
                        f"belongs to {accepted.organisation} but ran for"
                        f" {run.organisation}"
                    )
                    self.report(request, message, accepted, run)


class NoKeyCheck(Check):
    """Finds targets that received a caller's key."""

    promise = Promise.NO_KEY
    event_names = (names.REQUEST_RUN,)

    def observe(self, event: LoggedEvent) -> None:
        """Check whether the target reports a key."""
        if event.detail.get("has_key"):
            self.report(event.request, f"{event.target} received a caller's key", event)


def _get_end(event: LoggedEvent) -> float:
    return event.get_number("first") + event.get_number("count")
