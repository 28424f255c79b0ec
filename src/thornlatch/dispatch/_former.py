"""State that a former owner of a pool hands over to later owners."""

from dataclasses import dataclass, replace

from thornlatch.dispatch._messages import OrderInDoubt, PinInDoubt


@dataclass(frozen=True)
class Handover:
    """State of an ownership of this host at its end.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership; -1 unless this host knew all uses of the targets.
    ended_at : float
        Seconds.
    orders : tuple of OrderInDoubt
        Times are relative to `ended_at`.
    pins : tuple of PinInDoubt
        Times are relative to `ended_at`.
    """

    epoch: int
    ended_at: float
    orders: tuple[OrderInDoubt, ...]
    pins: tuple[PinInDoubt, ...]


class FormerOwnerships:
    """Handovers of one pool by this host that a later owner may still need."""

    def __init__(self) -> None:
        self.handovers: list[Handover] = []
        self.epoch = -1

    def add(self, handover: Handover) -> None:
        """Add the state of an ownership that ended."""
        self.epoch = max(self.epoch, handover.epoch)
        self.handovers.append(handover)

    def get_epoch(self, now: float) -> int:
        """Return the last epoch whose uses `list_pins` covers completely, or -1.

        A use may outlast its pin, so the handover is incomplete once a pin has expired.
        """
        for handover in self.handovers:
            if handover.epoch == self.epoch and _has_expired_pin(handover, now):
                self.epoch = -1
        return self.epoch

    def list_orders(self, now: float) -> tuple[OrderInDoubt, ...]:
        """Return the orders that targets may still carry out at `now`."""
        self._prune(now)
        return tuple(
            replace(order, settled_in_s=remaining_s)
            for handover in self.handovers
            for order in handover.orders
            if (remaining_s := handover.ended_at + order.settled_in_s - now) > 0
        )

    def list_pins(self, now: float) -> tuple[PinInDoubt, ...]:
        """Return the adapter versions that may still be in use at `now`."""
        self._prune(now)
        return tuple(
            replace(pin, ends_in_s=remaining_s)
            for handover in self.handovers
            for pin in handover.pins
            if (remaining_s := handover.ended_at + pin.ends_in_s - now) > 0
        )

    def _prune(self, now: float) -> None:
        self.get_epoch(now)
        self.handovers = [
            handover for handover in self.handovers if _get_expiry(handover) > now
        ]


def _has_expired_pin(handover: Handover, now: float) -> bool:
    return any(now >= handover.ended_at + pin.ends_in_s for pin in handover.pins)


def _get_expiry(handover: Handover) -> float:
    times = [order.settled_in_s for order in handover.orders]
    times += [pin.ends_in_s for pin in handover.pins]
    return handover.ended_at + max(times, default=0.0)
