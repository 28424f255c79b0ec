"""Acts on what targets say of themselves in their answers."""

import logbook

from thornlatch.core import read_clock
from thornlatch.fleet import Incarnation, Target, TargetNotice, TargetRegistry
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._metrics import GatewayMetrics

logger = logbook.Logger("thornlatch.gateway")

PEER = "peer"
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
    if not registry.note_leaving(incarnation, was_seen=source != PEER):
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
    target: str,
    notice: TargetNotice,
    *,
    source: str,
    health: TargetHealth,
    metrics: GatewayMetrics,
) -> None:
    """Record the limit that a target names, or that it no longer names one.

    Parameters
    ----------
    target : str
    notice : TargetNotice
    source : str
        What was answered.
    health : TargetHealth
    metrics : GatewayMetrics
    """
    if not health.note_limit(target, notice.limit_rate):
        return
    metrics.limits.labels(source).inc()
    logger.info(
        "target.limit_changed",
        extra={"target": target, "rate": notice.limit_rate, "source": source},
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
