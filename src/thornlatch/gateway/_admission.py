"""Admission of a request: route, key, suspects and quota."""

from collections.abc import Callable

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.gateway._call import Call, build_failure
from thornlatch.gateway._ports import CallerRequest
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.gateway._suspects import CrashSuspects, fingerprint_request
from thornlatch.gateway._work import Running
from thornlatch.quota import SharedQuota
from thornlatch.routing import (
    CallerLimits,
    ConfigurationInForce,
    Organisation,
    choose_service,
)

OTHER_HOST_S = 0.05  # until a caller may try again and reach another host


class Admission:
    """Decides at its arrival whether a request may be served.

    Parameters
    ----------
    settings : ForwardingSettings
    in_force : ConfigurationInForce
    quota : SharedQuota
    suspects : CrashSuspects
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        in_force: ConfigurationInForce,
        quota: SharedQuota,
        suspects: CrashSuspects,
    ) -> None:
        self.settings = settings
        self.in_force = in_force
        self.quota = quota
        self.suspects = suspects

    def admit(
        self, request: CallerRequest, is_caller_disconnected: Callable[[], bool]
    ) -> Call:
        """Admit a request.

        Parameters
        ----------
        request : CallerRequest
        is_caller_disconnected : callable

        Returns
        -------
        Call

        Raises
        ------
        RequestRefused
        """
        now = read_clock()
        table = self.in_force.table
        configuration = self.in_force.configuration
        if table is None or configuration is None:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "no configuration yet", retry_after_s=0.5
            )
        _check_size(request, configuration.limits)
        if not self.quota.knows_peers:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "no list of hosts yet", retry_after_s=0.2
            )
        route = table.match(request.host, request.path)
        if route is None:
            if not self.in_force.is_fresh(now=now):
                raise RequestRefused(
                    ErrorKind.HOST_UNCONFIRMED,
                    "no fresh configuration",
                    retry_after_s=OTHER_HOST_S,
                )
            raise RequestRefused(ErrorKind.UNKNOWN_ROUTE, "no route for this path")
        organisation = None
        if configuration.organisations and not route.is_public:
            organisation = self._authenticate(request, now)
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = self.settings.default_deadline_s
        running = Running(
            request.id,
            now + min(route.timeout_s, deadline_s),
            is_caller_disconnected,
            key=request.key or "",
        )
        fingerprint = fingerprint_request(request)
        if self.suspects.must_keep_away(fingerprint):
            raise RequestRefused(
                ErrorKind.TARGET_FAILED, "targets broke off its runs before"
            )
        tokens = _count_tokens(request, organisation)
        if organisation is not None:
            wait_s = self.quota.try_spend(organisation.name, tokens, now=now)
            if wait_s is not None:
                raise RequestRefused(
                    ErrorKind.RATE_EXCEEDED,
                    f"{organisation.name} has used its quota",
                    retry_after_s=wait_s,
                )
        return Call(
            request,
            route,
            organisation,
            choose_service(route, request.id),
            running,
            now,
            tokens,
            fingerprint,
            last_event=request.last_event,
        )

    def confirm_key(self, call: Call, *, now: float) -> None:
        """Check a request's key just before it is sent.

        Parameters
        ----------
        call : Call
        now : float

        Raises
        ------
        RequestRefused
        """
        # The host may have been suspended since the request was admitted.
        try:
            self._authenticate(call.request, now)
        except RequestRefused as error:
            if not call.may_have_run:
                raise
            # Only a request that hasn't run may be refused as such.
            raise build_failure(call) from error

    def _authenticate(self, request: CallerRequest, now: float) -> Organisation:
        if not self.in_force.is_fresh(now=now):
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED,
                "keys can't be confirmed now",
                retry_after_s=OTHER_HOST_S,
            )
        configuration = self.in_force.configuration
        organisation = (
            configuration.organisations_by_key.get(request.key or "")
            if configuration is not None
            else None
        )
        if organisation is None:
            raise RequestRefused(ErrorKind.UNKNOWN_KEY, "no organisation has this key")
        return organisation


def _check_size(request: CallerRequest, limits: CallerLimits | None) -> None:
    if limits is None:
        return
    header_bytes = sum(len(name) + len(value) for name, value in request.headers)
    if len(request.body) > limits.body_bytes or header_bytes > limits.header_bytes:
        raise RequestRefused(
            ErrorKind.REQUEST_TOO_LARGE,
            f"body of {len(request.body)} and headers of {header_bytes} bytes;"
            f" {limits.body_bytes} and {limits.header_bytes} are allowed",
        )


def _count_tokens(request: CallerRequest, organisation: Organisation | None) -> int:
    if organisation is None:
        return 0
    if not organisation.counts_tokens:
        return 1
    if request.prompt_tokens is None or request.output_tokens is None:
        return organisation.tokens_per_plain_request
    return request.prompt_tokens + request.output_tokens
