"""Acts on what targets say of themselves in their answers."""

import logbook

from thornlatch.fleet import Target, TargetNotice, TargetRegistry
from thornlatch.gateway._metrics import GatewayMetrics

logger = logbook.Logger("thornlatch.gateway")


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
    target: Target, *, source: str, registry: TargetRegistry, metrics: GatewayMetrics
) -> None:
    """Send a target that announced its leaving no new requests.

    Parameters
    ----------
    target : Target
        The incarnation to which the answered request was sent.
    source : str
        What was answered.
    registry : TargetRegistry
    metrics : GatewayMetrics
    """
    if not registry.note_leaving(target):
        return
    metrics.leaving_targets.labels(source).inc()
    logger.info(
        "target.leaving_announced",
        extra={
            "target": target.id,
            "started_ms": target.started_ms,
            "source": source,
        },
    )
