"""Admission of a request: route, key, suspected crashes and quota."""

from collections.abc import Callable
from random import Random

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.gateway._call import Call, build_failure
from thornlatch.gateway._ports import CallerRequest
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._suspects import CrashSuspects, fingerprint_request
from thornlatch.gateway._work import RunningRequest
from thornlatch.quota import SharedQuota
from thornlatch.routing import (
    CallerLimits,
    ConfigurationInForce,
    Organisation,
    choose_service,
)

OTHER_HOST_RETRY_S = 0.05  # a retry after this time may reach another host
DISCOVERY_POLL_S = 0.1
# In which a host that has just started hears from its peers, and callers return.
DISCOVERY_RETRY_S = (0.5, 0.9)


class Admission:
    """Decides on arrival whether a request may be served.

    Parameters
    ----------
    settings : ForwardingSettings
    in_force : ConfigurationInForce
    quota : SharedQuota
    suspects : CrashSuspects
    random : random.Random
        Source of the differences between callers that return.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        in_force: ConfigurationInForce,
        quota: SharedQuota,
        suspects: CrashSuspects,
        random: Random,
    ) -> None:
        self.settings = settings
        self.random = random
        self.in_force = in_force
        self.quota = quota
        self.suspects = suspects

    def admit(
        self, request: CallerRequest, is_caller_disconnected: Callable[[], bool]
    ) -> Call:
        """Check a request and charge it to its organisation's quota.

        Parameters
        ----------
        request : CallerRequest
        is_caller_disconnected : callable
            Returns whether the caller has closed its connection.

        Returns
        -------
        Call

        Raises
        ------
        RequestRefused
            If this host can't decide, or the size, route, key, suspected crashes or
            quota forbid the request.
        """
        now = read_clock()
        table = self.in_force.table
        configuration = self.in_force.configuration
        if table is None or configuration is None:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "the host has no configuration yet",
                retry_after_s=0.5,
            )
        _check_size(request, configuration.limits)
        if not self.quota.knows_peers:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "the host hasn't received the list of hosts yet",
                retry_after_s=0.2,
            )
        route = table.match(request.host, request.path)
        if route is None:
            if not self.in_force.is_fresh(now=now):
                raise RequestRefused(
                    ErrorKind.HOST_UNCONFIRMED,
                    "no route found, and the host's configuration is outdated",
                    retry_after_s=OTHER_HOST_RETRY_S,
                )
            raise RequestRefused(
                ErrorKind.UNKNOWN_ROUTE, "no route matches the host name and path"
            )
        organisation = None
        if configuration.organisations and not route.is_public:
            organisation = self.authenticate(request, now=now)
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = self.settings.default_deadline_s
        running = RunningRequest(
            request.id,
            now + min(route.timeout_s, deadline_s),
            is_caller_disconnected,
            key=request.key or "",
        )
        fingerprint = fingerprint_request(request)
        if self.suspects.is_blocked(fingerprint):
            raise RequestRefused(
                ErrorKind.TARGET_FAILED,
                f"targets aborted {self.suspects.settings.target_limit} or more runs"
                " of this request",
            )
        call = Call(
            request,
            route,
            organisation,
            # A stream goes on at the service that began it.
            choose_service(route, request.resumes or request.id),
            running,
            now,
            _count_tokens(request, organisation),
            fingerprint,
            last_event=request.last_event,
        )
        self.check_parts(call)
        if organisation is not None:
            self._charge(call, organisation)
        return call

    def _charge(self, call: Call, organisation: Organisation) -> None:
        """Charge a request to its organisation's quota.

        Load pattern: all hosts start at once and callers are already there. A host
        takes its peers to spend their shares until it hears from them, some tenths of a
        second later, so its own share is soon used up. Requests wait for that within
        their latency objective; a caller that is refused returns after it.
        """
        wait_until = call.admitted_at + (
            call.route.objective_s * self.settings.discovery_wait_objectives
        )
        while True:
            now = read_clock()
            wait_s = self.quota.try_spend(
                organisation.name,
                call.tokens,
                now=now,
                is_resumed=call.route.is_resumable_stream and bool(call.last_event),
            )
            if wait_s is None:
                call.waited_s += now - call.admitted_at
                return
            is_discovering = self.quota.is_discovering(now=now)
            if not is_discovering or now >= wait_until:
                break
            self.quota.wait_for_peers(min(wait_until - now, DISCOVERY_POLL_S))
        reason = f"{organisation.name} has used its quota"
        if is_discovering:
            reason = (
                "this host hasn't heard from its peers yet, and its share of the quota"
                f" of {organisation.name} is used"
            )
            wait_s = max(wait_s, self.random.uniform(*DISCOVERY_RETRY_S))
        raise RequestRefused(ErrorKind.RATE_EXCEEDED, reason, retry_after_s=wait_s)

    def check_parts(self, call: Call) -> None:
        """Check that no part of a request's prompt is blocked.

        Parameters
        ----------
        call : Call

        Raises
        ------
        RequestRefused
            If a part crashed the targets that ran it.
        """
        part = self.suspects.parts.find_blocked(call.shared_parts)
        if part is not None:
            raise RequestRefused(
                ErrorKind.TARGET_FAILED,
                f"part {part} of the prompt crashed the targets that ran it",
            )

    def confirm_key(self, call: Call, *, now: float) -> None:
        """Check a request's key again just before the request is sent.

        Parameters
        ----------
        call : Call
        now : float

        Raises
        ------
        RequestRefused
            If the key is no longer valid or can't be confirmed.
        """
        # The host may have been suspended since it admitted the request, and the key
        # withdrawn in the meantime.
        try:
            self.authenticate(call.request, now=now)
        except RequestRefused as error:
            if not call.may_have_run:
                raise
            # A refusal would tell the caller that the request hasn't run.
            raise build_failure(call, error.message) from error

    def authenticate(self, request: CallerRequest, *, now: float) -> Organisation:
        """Return the organisation whose key a request carries.

        Parameters
        ----------
        request : CallerRequest
        now : float

        Returns
        -------
        Organisation

        Raises
        ------
        RequestRefused
            If the key belongs to no organisation or can't be confirmed.
        """
        if not self.in_force.is_fresh(now=now):
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "the host's configuration is too old to confirm keys",
                retry_after_s=OTHER_HOST_RETRY_S,
            )
        configuration = self.in_force.configuration
        organisation = (
            configuration.organisations_by_key.get(request.key or "")
            if configuration is not None
            else None
        )
        if organisation is None:
            raise RequestRefused(
                ErrorKind.UNKNOWN_KEY, "the key belongs to no organisation"
            )
        return organisation


def _check_size(request: CallerRequest, limits: CallerLimits | None) -> None:
    if limits is None:
        return
    header_bytes = sum(len(name) + len(value) for name, value in request.headers)
    if len(request.body) > limits.body_bytes or header_bytes > limits.header_bytes:
        raise RequestRefused(
            ErrorKind.REQUEST_TOO_LARGE,
            f"body of {len(request.body)} and headers of {header_bytes} bytes exceed"
            f" the limits of {limits.body_bytes} and {limits.header_bytes} bytes",
        )


def _count_tokens(request: CallerRequest, organisation: Organisation | None) -> int:
    if organisation is None:
        return 0
    if not organisation.counts_tokens:
        return 1
    if request.prompt_tokens is None or request.output_tokens is None:
        return organisation.tokens_per_plain_request
    return request.prompt_tokens + request.output_tokens
