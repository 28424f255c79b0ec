"""Targets that probably have prompt prefixes in their cache."""

from collections import OrderedDict


class PrefixMap:
    """Last target of each prompt prefix.

    It is derived from the owner's grants, because targets publish cache events late and
    with gaps. A wrong entry only costs a cache miss.

    Parameters
    ----------
    entries : int
        Maximum number of prefixes; the least recently used is evicted first. 0 disables
        the map.
    """

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.targets: OrderedDict[str, str] = OrderedDict()

    def note(self, prefix: str, target: str) -> None:
        """Record that a request with `prefix` was granted on `target`."""
        if not prefix or not self.entries:
            return
        self.targets[prefix] = target
        self.targets.move_to_end(prefix)
        if len(self.targets) > self.entries:
            self.targets.popitem(last=False)

    def get_target(self, prefix: str) -> str | None:
        """Return the target that probably caches `prefix`, or None."""
        return self.targets.get(prefix)

    def remove_target(self, target: str) -> None:
        """Remove the prefixes of a target whose process restarted."""
        for prefix in [p for p, name in self.targets.items() if name == target]:
            del self.targets[prefix]
