"""Where prompt prefixes probably are cached."""

from collections import OrderedDict


class PrefixMap:
    """Last target of each prompt prefix.

    Targets publish cache events late and with gaps, so the owner's own grants are the
    source; a wrong guess costs a cache miss only.

    Parameters
    ----------
    entries : int
        Prefixes remembered; the least recently used is forgotten first.
    """

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.targets: OrderedDict[str, str] = OrderedDict()

    def note(self, prefix: str, target: str) -> None:
        """Note that a request with `prefix` went to `target`."""
        if not prefix or not self.entries:
            return
        self.targets[prefix] = target
        self.targets.move_to_end(prefix)
        if len(self.targets) > self.entries:
            self.targets.popitem(last=False)

    def get_target(self, prefix: str) -> str | None:
        """Return the target that probably caches `prefix`."""
        return self.targets.get(prefix)

    def forget_target(self, target: str) -> None:
        """Forget the cache of a target that restarted."""
        for prefix in [p for p, name in self.targets.items() if name == target]:
            del self.targets[prefix]
