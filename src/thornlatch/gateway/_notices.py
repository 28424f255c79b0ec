"""Acts on what targets say of themselves in their answers."""

import logbook

from thornlatch.fleet import Incarnation, Target, TargetNotice, TargetRegistry
from thornlatch.gateway._metrics import GatewayMetrics

logger = logbook.Logger("thornlatch.gateway")

PEER = "peer"


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
