"""Acts on what targets say of themselves in their answers."""

import math
from collections.abc import Iterable

import logbook

from thornlatch.core import read_clock
from thornlatch.fleet import (
    Incarnation,
    Target,
    TargetLimit,
    TargetNotice,
    TargetPace,
    TargetRegistry,
)
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.pace import PaceChange

logger = logbook.Logger("thornlatch.gateway")

PEER = "peer"
REGISTRATION = "registration"
EVACUATION = "evacuation"  # its end
SHOWN_CHARACTERS = 200  # of a header's value in the log


def is_of_incarnation(target: Target, notice: TargetNotice) -> bool:
    """Return whether a notice is of a target's incarnation, as far as it tells.

    Parameters
    ----------
    target : Target
    notice : TargetNotice

    Returns
    -------
    bool
    """
    return notice.started_ms in (0, target.started_ms)


def note_leaving(
    incarnation: Incarnation,
    *,
    source: str,
    registry: TargetRegistry,
    metrics: GatewayMetrics,
) -> None:
    """Send a target that announced its leaving no new requests.

    Parameters
    ----------
    incarnation : (str, int)
        The incarnation to which the answered request was sent.
    source : str
        What was answered; `PEER` if a peer got the answer.
    registry : TargetRegistry
    metrics : GatewayMetrics
    """
    was_seen = source != PEER
    if not registry.note_leaving(incarnation, was_seen=was_seen, now=read_clock()):
        return
    metrics.leaving_targets.labels(source).inc()
    logger.info(
        "target.leaving_announced",
        extra={
            "target": incarnation[0],
            "started_ms": incarnation[1],
            "source": source,
        },
    )


def note_pause(
    target: str,
    notice: TargetNotice,
    *,
    source: str,
    health: TargetHealth,
    metrics: GatewayMetrics,
) -> None:
    """Send a target nothing for as long as it asks for.

    Parameters
    ----------
    target : str
    notice : TargetNotice
    source : str
        What was answered.
    health : TargetHealth
    metrics : GatewayMetrics
    """
    if not notice.pause_s:
        return
    health.note_pause(target, notice.pause_s, now=read_clock())
    metrics.pauses.labels(source).inc()
    logger.info(
        "target.pause_requested",
        extra={"target": target, "pause_s": notice.pause_s, "source": source},
    )


def note_limit(
    incarnation: Incarnation,
    notice: TargetNotice,
    *,
    source: str,
    sent_at: float,
    may_end: bool,
    health: TargetHealth,
    metrics: GatewayMetrics,
) -> None:
    """Record the limit that a target names, or that it no longer names one.

    Parameters
    ----------
    incarnation : (str, int)
        The incarnation to which the answered request was sent.
    notice : TargetNotice
    source : str
        What was answered.
    sent_at : float
        When the request was sent.
    may_end : bool
        Whether a limit ends with an answer that doesn't name it.
    health : TargetHealth
    metrics : GatewayMetrics
    """
    has_changed = health.limits.note_answer(
        incarnation,
        notice.limit_rate,
        sent_at=sent_at,
        may_end=may_end,
        now=read_clock(),
    )
    if has_changed:
        _record_limit(incarnation, notice.limit_rate, source, metrics)


def note_cold(
    target: Target,
    remaining_s: float,
    *,
    source: str,
    health: TargetHealth,
) -> None:
    """Record for how long a target is cold.

    Parameters
    ----------
    target : Target
    remaining_s : float
        Seconds; nothing is recorded if they aren't positive.
    source : str
        What told of it: what was answered, `REGISTRATION` or `EVACUATION`.
    health : TargetHealth
    """
    if not remaining_s > 0:
        return
    is_news = health.limits.note_cold(
        target.incarnation,
        target.service,
        remaining_s,
        source=source,
        now=read_clock(),
        was_seen=source not in (REGISTRATION, EVACUATION),
    )
    if is_news:
        logger.info(
            "target.cold",
            extra={
                "target": target.id,
                "started_ms": target.started_ms,
                "remaining_s": remaining_s,
                "rate": health.limits.get_rate(target.incarnation),
                "source": source,
            },
        )


def note_peer_limits(
    reports: Iterable[TargetLimit],
    *,
    health: TargetHealth,
    metrics: GatewayMetrics,
    now: float,
) -> None:
    """Record the limits that targets named to other hosts.

    Parameters
    ----------
    reports : iterable of TargetLimit
    health : TargetHealth
    metrics : GatewayMetrics
    now : float
    """
    for report in reports:
        if health.limits.apply_report(report, now=now):
            incarnation = (report.target, report.started_ms)
            _record_limit(incarnation, report.rate, PEER, metrics)


def _record_limit(
    incarnation: Incarnation,
    rate: float | None,
    source: str,
    metrics: GatewayMetrics,
) -> None:
    metrics.limits.labels(source).inc()
    logger.info(
        "target.limit_changed",
        extra={
            "target": incarnation[0],
            "started_ms": incarnation[1],
            "rate": rate,
            "source": source,
        },
    )


def note_peer_paces(
    reports: Iterable[TargetPace],
    *,
    health: TargetHealth,
    registry: TargetRegistry,
    metrics: GatewayMetrics,
    now: float,
) -> None:
    """Apply the windows of paced targets that other hosts know.

    Parameters
    ----------
    reports : iterable of TargetPace
    health : TargetHealth
    registry : TargetRegistry
    metrics : GatewayMetrics
    now : float
    """
    for report in reports:
        slots = math.inf
        registered = registry.get(report.target)
        if registered is not None and registered.started_ms == report.started_ms:
            slots = max(registered.slots, 1)
        change = health.pacer.apply_report(report, slots=slots, now=now)
        record_pace(change, metrics)


def record_pace(change: PaceChange | None, metrics: GatewayMetrics) -> None:
    """Log and count the change of a target's window.

    Parameters
    ----------
    change : PaceChange or None
        None if nothing changed.
    metrics : GatewayMetrics
    """
    if change is None:
        return
    metrics.pace_changes.labels(change.reason.value).inc()
    logger.info(
        "target.pace_changed",
        extra={
            "target": change.target,
            "started_ms": change.started_ms,
            "window": round(change.window, 2),
            "round": change.round,
            "why": change.reason.value,
            "data_age_s": round(change.data_age_s, 3),
            "paced": change.is_paced,
        },
    )


def log_unreadable(target: str, notice: TargetNotice, *, health: TargetHealth) -> None:
    """Log headers of a target that can't be read, once each.

    Parameters
    ----------
    target : str
    notice : TargetNotice
    health : TargetHealth
    """
    for header in notice.unreadable:
        if health.note_unreadable(target, header.name):
            logger.warning(
                "target.header_unreadable",
                extra={
                    "target": target,
                    "header": header.name,
                    "value": header.value[:SHOWN_CHARACTERS],
                    "expected": header.expected,
                },
            )
